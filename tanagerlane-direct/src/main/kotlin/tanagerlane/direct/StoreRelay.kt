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
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Client of the object API that relays a call through another process if the object API does not serve this one.
 *
 * A write is relayed only if the direct attempt has certainly taken no effect, or if the write creates an object, which
 * takes effect at most once however often it is attempted.
 *
 * @param store client of the object API for the direct path
 * @param reachable returns the other processes that may relay a call
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

    /** Starts anywhere, so that a late reply to an earlier instance of this process answers no call of this one. */
    private var lastCallNumber = Random.nextLong()
    private var callsForPeers = 0
    private var lastCallForPeerEndedAt: Instant? = null
    private var isClosed = false
    private var paths = StorePaths()

    /**
     * Whether this process is making calls on behalf of another one.
     *
     * It still is for a short time after a call has ended, because an operation of the other process may consist of
     * several calls.
     */
    val isRelaying: Boolean
        get() = callsForPeers > 0 || lastCallForPeerEndedAt?.let { now() - it < NEXT_CALL_TIMEOUT } ?: false

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
        callDirectOrRelayed(RelayedVerb.GET, key.path, direct = { store.get(key) }) { reply ->
            val stored = reply.objects.firstOrNull()
            val value = stored?.value
            if (value == null) {
                Err(StoreFailure.NotFound(key))
            } else {
                Ok(StoredObject(key, ObjectVersion(stored.version), value))
            }
        }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> =
        callDirectOrRelayed(RelayedVerb.LIST, prefix, direct = { store.list(prefix) }) { reply ->
            Ok(Listing(reply.objects.map(::storedOf), ObjectVersion(reply.version)))
        }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> =
        callDirectOrRelayed(RelayedVerb.PUT, key.path, value, expected, direct = { store.put(key, value, expected) }) {
            Ok(ObjectVersion(it.version))
        }

    /** Makes no more calls on behalf of other processes; they are told so. */
    fun close() {
        isClosed = true
    }

    /** Makes [call] on behalf of [from] and sends the reply. */
    fun onCall(
        from: HostName,
        call: RelayedCall,
    ) {
        if (isClosed) {
            send(from, failureReply(call, StoreFailure.Unavailable("relay is stopping")))
            return
        }
        callsForPeers++
        scope.launch {
            try {
                send(from, execute(call))
            } finally {
                callsForPeers--
                lastCallForPeerEndedAt = now()
            }
        }
    }

    /** Completes the relayed call that [reply] answers; a late or repeated reply is ignored. */
    fun onReply(reply: RelayedReply) {
        open[reply.call]?.complete(reply)
    }

    private suspend fun execute(call: RelayedCall): RelayedReply =
        when (call.verb) {
            RelayedVerb.GET -> {
                store.get(ObjectKey(call.path)).fold(
                    { doneReply(call, objects = listOf(objectOf(it))) },
                    { failureReply(call, it) },
                )
            }

            RelayedVerb.LIST -> {
                store.list(call.path).fold(
                    { doneReply(call, it.at, it.objects.map(::objectOf)) },
                    { failureReply(call, it) },
                )
            }

            RelayedVerb.PUT -> {
                store
                    .put(ObjectKey(call.path), call.value ?: Payload.EMPTY, call.expected?.let(::ObjectVersion))
                    .fold({ doneReply(call, it) }, { failureReply(call, it) })
            }
        }

    private fun storedOf(read: ViewObject) =
        StoredObject(ObjectKey(read.name), ObjectVersion(read.version), read.value ?: Payload.EMPTY)

    private fun objectOf(stored: StoredObject) = ViewObject(stored.key.path, stored.version.number, stored.value)

    private fun doneReply(
        call: RelayedCall,
        version: ObjectVersion = ObjectVersion.NONE,
        objects: List<ViewObject> = emptyList(),
    ) = RelayedReply(call.call, RelayedOutcome.DONE, version.number, objects)

    private fun failureReply(
        call: RelayedCall,
        failure: StoreFailure,
    ): RelayedReply {
        val outcome =
            when (failure) {
                is StoreFailure.NotFound -> RelayedOutcome.NOT_FOUND
                is StoreFailure.Conflict -> RelayedOutcome.CONFLICT
                is StoreFailure.OutcomeUnknown -> RelayedOutcome.UNKNOWN
                is StoreFailure.TooLarge -> RelayedOutcome.TOO_LARGE
                else -> RelayedOutcome.NOT_DONE
            }
        return RelayedReply(call.call, outcome, (failure as? StoreFailure.Conflict)?.current?.number ?: 0, emptyList())
    }

    /**
     * Makes a call on the direct path, or through a relay if the object API does not serve this process.
     *
     * A call that may be repeated also goes through a relay if the direct path has no answer within [DIRECT_TIMEOUT].
     *
     * @param direct makes the call on the direct path
     * @param convert converts the reply of a relay to the result of the call
     */
    private suspend fun <T> callDirectOrRelayed(
        verb: RelayedVerb,
        path: String,
        value: Payload? = null,
        expected: ObjectVersion? = null,
        direct: suspend () -> Result<T, StoreFailure>,
        convert: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> {
        val attempt: Deferred<Result<T, StoreFailure>>?
        if (paths.skipsDirectPath(reachable(), now())) {
            retryDirectPathIfDue(path)
            attempt = null
        } else {
            attempt = scope.async { direct().also(::recordDirectResult) }
            val mayRepeat = verb != RelayedVerb.PUT || expected == null
            val result = if (mayRepeat) withTimeoutOrNull(DIRECT_TIMEOUT) { attempt.await() } else attempt.await()
            if (result != null && result.fold({ true }, { it !is StoreFailure.Unavailable })) {
                return result
            }
            if (result == null) {
                logLateResult(verb, path, attempt)
            }
        }
        val relayed = callThroughRelays(RelayedCall(++lastCallNumber, verb, path, value, expected?.number), convert)
        if (relayed != null && attempt?.isCompleted == false) {
            paths = paths.directAttemptFailed(now())
        }
        return relayed ?: attempt?.await() ?: direct().also(::recordDirectResult)
    }

    /** Makes [call] through one relay after another; returns null if none of them was served. */
    private suspend fun <T> callThroughRelays(
        call: RelayedCall,
        convert: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure>? {
        for (relay in paths.relayCandidates(reachable().shuffled(), now())) {
            val reply = callThrough(relay, call)
            recordReply(relay, reply)
            logger.info(
                "store call relayed verb={} path={} helper={} outcome={}",
                call.verb,
                call.path,
                relay,
                reply?.outcome,
            )
            if (reply == null && call.verb == RelayedVerb.PUT) {
                return Err(StoreFailure.OutcomeUnknown("no reply from $relay"))
            }
            if (reply != null && reply.outcome != RelayedOutcome.NOT_DONE) {
                return resultOf(reply, relay, call.path, convert)
            }
        }
        return null
    }

    private fun <T> resultOf(
        reply: RelayedReply,
        relay: HostName,
        path: String,
        convert: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> =
        when (reply.outcome) {
            RelayedOutcome.DONE -> convert(reply)
            RelayedOutcome.NOT_FOUND -> Err(StoreFailure.NotFound(ObjectKey(path.removeSuffix("/"))))
            RelayedOutcome.CONFLICT -> Err(StoreFailure.Conflict(ObjectKey(path), ObjectVersion(reply.version)))
            RelayedOutcome.NOT_DONE -> Err(StoreFailure.Unavailable("call not made by relay $relay"))
            RelayedOutcome.TOO_LARGE -> Err(StoreFailure.TooLarge(ObjectKey(path)))
            RelayedOutcome.UNKNOWN -> Err(StoreFailure.OutcomeUnknown("outcome unknown to relay $relay"))
        }

    /** Reads an object in parallel with a relayed call, to detect that the object API serves this process again. */
    private fun retryDirectPathIfDue(path: String) {
        if (paths.isDirectRetryDue(now())) {
            paths = paths.directAttemptStarted(now())
            val key = ObjectKey(if (path.endsWith("/")) "$path$PROBE_NAME" else path)
            scope.launch { recordDirectResult(store.get(key)) }
        }
    }

    /** Logs what became of a direct call that was also made through a relay. */
    private fun logLateResult(
        verb: RelayedVerb,
        path: String,
        attempt: Deferred<Result<*, StoreFailure>>,
    ) {
        scope.launch {
            val outcome = attempt.await().fold({ "DONE" }, { it.toString() })
            logger.info("late direct store call verb={} path={} outcome={}", verb, path, outcome)
        }
    }

    private fun recordDirectResult(result: Result<*, StoreFailure>) {
        val failure = result.fold({ null }, { it as? StoreFailure.Unavailable })
        if (failure == null) {
            paths = paths.directAttemptSucceeded()
        } else {
            logger.info("direct store call failed cause={}", failure)
            paths = paths.directAttemptFailed(now())
        }
    }

    private fun recordReply(
        relay: HostName,
        reply: RelayedReply?,
    ) {
        val hasSucceeded = reply != null && reply.outcome != RelayedOutcome.NOT_DONE
        paths = if (hasSucceeded) paths.relaySucceeded(relay) else paths.relayFailed(relay, now())
    }

    private suspend fun callThrough(
        relay: HostName,
        call: RelayedCall,
    ): RelayedReply? {
        val reply = CompletableDeferred<RelayedReply>()
        open[call.call] = reply
        try {
            send(relay, call)
            return withTimeoutOrNull(REPLY_TIMEOUT) { reply.await() }
        } finally {
            open.remove(call.call)
        }
    }

    private companion object {
        /** Time within which a relay must reply; otherwise it counts as failed. */
        val REPLY_TIMEOUT = 1000.milliseconds

        /** Time after which a call also goes through a relay; normally, the object API answers within milliseconds. */
        val DIRECT_TIMEOUT = 120.milliseconds

        /** Time after a relayed call within which its sender makes the next call of the same operation. */
        val NEXT_CALL_TIMEOUT = 250.milliseconds

        /** Name of the object to read in a listed folder; it need not exist. */
        const val PROBE_NAME = "0"
        val logger = LoggerFactory.getLogger(StoreRelay::class.java)
    }
}
