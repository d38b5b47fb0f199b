package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedOutcome
import tanagerlane.message.RelayedReply
import tanagerlane.message.RelayedVerb
import tanagerlane.message.ViewObject
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.Listing
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StorePaths
import tanagerlane.store.StoredObject
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * The object API, called by another process where it turns this one away.
 *
 * A write is handed on where it has certainly taken no effect, or where it creates an object, which takes effect once
 * however often it is made.
 *
 * @param reachable other processes that may be asked
 * @param send sends a message to another process
 */
internal class StoreRelay(
    private val store: ObjectStore,
    private val scope: CoroutineScope,
    private val reachable: () -> Set<HostName>,
    private val send: (HostName, WireMessage) -> Unit,
    private val now: () -> Instant,
) : ObjectStore by store {
    private val open = HashMap<Long, CompletableDeferred<RelayedReply>>()
    private var calls = 0L
    private var callsForOthers = 0
    private var paths = StorePaths()

    /** Whether a call for another process is under way here. */
    val isRelaying: Boolean get() = callsForOthers > 0

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
        called(RelayedVerb.GET, key.path, own = { store.get(key) }) { reply ->
            val stored = reply.objects.firstOrNull()
            val value = stored?.value
            if (value == null) {
                Err(StoreFailure.NotFound(key))
            } else {
                Ok(StoredObject(key, ObjectVersion(stored.version), value))
            }
        }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> =
        called(RelayedVerb.LIST, prefix, own = { store.list(prefix) }) { reply ->
            Ok(Listing(reply.objects.map(::storedOf), ObjectVersion(reply.version)))
        }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> =
        called(RelayedVerb.PUT, key.path, value, expected, own = { store.put(key, value, expected) }) {
            Ok(ObjectVersion(it.version))
        }

    /** Makes a call for [from]. */
    fun onCall(
        from: HostName,
        call: RelayedCall,
    ) {
        callsForOthers++
        scope.launch {
            try {
                send(from, made(call))
            } finally {
                callsForOthers--
            }
        }
    }

    fun onReply(reply: RelayedReply) {
        open[reply.call]?.complete(reply)
    }

    private suspend fun made(call: RelayedCall): RelayedReply =
        when (call.verb) {
            RelayedVerb.GET -> {
                store.get(ObjectKey(call.path)).fold(
                    { done(call, objects = listOf(objectOf(it))) },
                    { failed(call, it) },
                )
            }

            RelayedVerb.LIST -> {
                store.list(call.path).fold(
                    { done(call, it.at, it.objects.map(::objectOf)) },
                    { failed(call, it) },
                )
            }

            RelayedVerb.PUT -> {
                store
                    .put(ObjectKey(call.path), call.value ?: Payload.EMPTY, call.expected?.let(::ObjectVersion))
                    .fold({ done(call, it) }, { failed(call, it) })
            }
        }

    private fun storedOf(read: ViewObject) =
        StoredObject(ObjectKey(read.name), ObjectVersion(read.version), read.value ?: Payload.EMPTY)

    private fun objectOf(stored: StoredObject) = ViewObject(stored.key.path, stored.version.number, stored.value)

    private fun done(
        call: RelayedCall,
        version: ObjectVersion = ObjectVersion.NONE,
        objects: List<ViewObject> = emptyList(),
    ) = RelayedReply(call.call, RelayedOutcome.DONE, version.number, objects)

    private fun failed(
        call: RelayedCall,
        failure: StoreFailure,
    ): RelayedReply {
        val outcome =
            when (failure) {
                is StoreFailure.NotFound -> RelayedOutcome.NOT_FOUND
                is StoreFailure.Conflict -> RelayedOutcome.CONFLICT
                is StoreFailure.OutcomeUnknown -> RelayedOutcome.UNKNOWN
                else -> RelayedOutcome.NOT_DONE
            }
        return RelayedReply(call.call, outcome, (failure as? StoreFailure.Conflict)?.current?.number ?: 0, emptyList())
    }

    /**
     * Makes a call on the own path, or through another process where the object API turns this one away.
     *
     * A call that may be made twice goes through another process as well where the own path is slow.
     */
    private suspend fun <T> called(
        verb: RelayedVerb,
        path: String,
        value: Payload? = null,
        expected: ObjectVersion? = null,
        own: suspend () -> Result<T, StoreFailure>,
        read: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> {
        val ownCall: Deferred<Result<T, StoreFailure>>?
        if (paths.skipsDirectPath(reachable(), now())) {
            tryOwnPathIfDue(path)
            ownCall = null
        } else {
            ownCall = scope.async { own().also(::noteOwnPath) }
            val mayRepeat = verb != RelayedVerb.PUT || expected == null
            val result = if (mayRepeat) withTimeoutOrNull(OWN_PATH_PATIENCE) { ownCall.await() } else ownCall.await()
            if (result != null && result.fold({ true }, { it !is StoreFailure.Unavailable })) {
                return result
            }
        }
        val relayed = relayed(RelayedCall(++calls, verb, path, value, expected?.number), read)
        if (relayed != null && ownCall?.isCompleted == false) {
            paths = paths.directAttemptFailed(now())
        }
        return relayed ?: ownCall?.await() ?: own().also(::noteOwnPath)
    }

    /** Has other processes make [call]; returns null when none could. */
    private suspend fun <T> relayed(
        call: RelayedCall,
        read: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure>? {
        for (helper in paths.relayCandidates(reachable().shuffled(), now())) {
            val reply = ask(helper, call)
            noteReply(helper, reply)
            logger.info(
                "store call relayed verb={} path={} helper={} outcome={}",
                call.verb,
                call.path,
                helper,
                reply?.outcome,
            )
            if (reply == null && call.verb == RelayedVerb.PUT) {
                return Err(StoreFailure.OutcomeUnknown("no answer of $helper"))
            }
            if (reply != null && reply.outcome != RelayedOutcome.NOT_DONE) {
                return resultOf(reply, helper, call.path, read)
            }
        }
        return null
    }

    private fun <T> resultOf(
        reply: RelayedReply,
        helper: HostName,
        path: String,
        read: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> =
        when (reply.outcome) {
            RelayedOutcome.DONE -> read(reply)
            RelayedOutcome.NOT_FOUND -> Err(StoreFailure.NotFound(ObjectKey(path.removeSuffix("/"))))
            RelayedOutcome.CONFLICT -> Err(StoreFailure.Conflict(ObjectKey(path), ObjectVersion(reply.version)))
            RelayedOutcome.NOT_DONE -> Err(StoreFailure.Unavailable("not done by $helper"))
            RelayedOutcome.UNKNOWN -> Err(StoreFailure.OutcomeUnknown("lost by $helper"))
        }

    /** Reads an object beside a call, to notice when the object API serves this process again. */
    private fun tryOwnPathIfDue(path: String) {
        if (paths.isDirectRetryDue(now())) {
            paths = paths.directAttemptStarted(now())
            val key = ObjectKey(if (path.endsWith("/")) "$path$ANY_NAME" else path)
            scope.launch { noteOwnPath(store.get(key)) }
        }
    }

    private fun noteOwnPath(result: Result<*, StoreFailure>) {
        val failure = result.fold({ null }, { it as? StoreFailure.Unavailable })
        if (failure == null) {
            paths = paths.directAttemptSucceeded()
        } else {
            logger.info("store turned this process away cause={}", failure)
            paths = paths.directAttemptFailed(now())
        }
    }

    private fun noteReply(
        helper: HostName,
        reply: RelayedReply?,
    ) {
        val hasHelped = reply != null && reply.outcome != RelayedOutcome.NOT_DONE
        paths = if (hasHelped) paths.relaySucceeded(helper) else paths.relayFailed(helper, now())
    }

    private suspend fun ask(
        helper: HostName,
        call: RelayedCall,
    ): RelayedReply? {
        val reply = CompletableDeferred<RelayedReply>()
        open[call.call] = reply
        try {
            send(helper, call)
            return withTimeoutOrNull(ANSWER_TIME) { reply.await() }
        } finally {
            open.remove(call.call)
        }
    }

    private companion object {
        val ANSWER_TIME = 1000.milliseconds

        /** Time after which a call goes through another process as well; the object API answers in milliseconds. */
        val OWN_PATH_PATIENCE = 120.milliseconds

        /** Name of an object that need not exist. */
        const val ANY_NAME = "0"
        val logger = LoggerFactory.getLogger(StoreRelay::class.java)
    }
}
