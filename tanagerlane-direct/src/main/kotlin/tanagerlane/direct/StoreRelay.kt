package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedOutcome
import tanagerlane.message.RelayedReply
import tanagerlane.message.RelayedVerb
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.Listing
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.RepeatableCall
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
            Ok(Listing(reply.objects.map(RelayedReplies::storedOf), ObjectVersion(reply.version)))
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
            send(from, RelayedReplies.failed(call, StoreFailure.Unavailable("relay is stopping")))
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
                    { RelayedReplies.done(call, objects = listOf(RelayedReplies.objectOf(it))) },
                    { RelayedReplies.failed(call, it) },
                )
            }

            RelayedVerb.LIST -> {
                store.list(call.path).fold(
                    { RelayedReplies.done(call, it.at, it.objects.map(RelayedReplies::objectOf)) },
                    { RelayedReplies.failed(call, it) },
                )
            }

            RelayedVerb.PUT -> {
                store
                    .put(ObjectKey(call.path), call.value ?: Payload.EMPTY, call.expected?.let(::ObjectVersion))
                    .fold({ RelayedReplies.done(call, it) }, { RelayedReplies.failed(call, it) })
            }
        }

    /**
     * Makes a call on the direct path, or through a relay if the object API does not serve this process.
     *
     * A [RepeatableCall] also goes through a relay if the direct path has no answer within [DIRECT_TIMEOUT].
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
        val call = RelayedCall(++lastCallNumber, verb, path, value, expected?.number)
        if (paths.skipsDirectPath(reachable(), now())) {
            retryDirectPathIfDue(path)
            return callThroughRelays(call, convert) ?: direct().also(::recordDirectResult)
        }
        val attempt = scope.async { direct().also(::recordDirectResult) }
        val repeatable = repeatableOf(call)
        val result =
            if (repeatable == null) {
                attempt.await()
            } else {
                withTimeoutOrNull(DIRECT_TIMEOUT) { attempt.await() }
                    ?: return callOnBothPaths(call, repeatable, attempt, convert)
            }
        return if (result.getError() is StoreFailure.Unavailable) callThroughRelays(call, convert) ?: result else result
    }

    /** Makes [call] through relays while [direct], the attempt on the direct path, is under way. */
    private suspend fun <T> callOnBothPaths(
        call: RelayedCall,
        repeatable: RepeatableCall,
        direct: Deferred<Result<T, StoreFailure>>,
        convert: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> =
        coroutineScope {
            val relayed = async { callThroughRelays(call, convert) ?: Err(NO_RELAY_SERVED) }
            val first =
                select {
                    direct.onAwait { it }
                    relayed.onAwait { result ->
                        if (result.getError() != NO_RELAY_SERVED) paths = paths.directAttemptFailed(now())
                        result
                    }
                }
            if (repeatable.isDecidedBy(first)) {
                relayed.cancel()
                first
            } else {
                val results = listOf(direct.await(), relayed.await())
                val outcomes = results.map { it.getError() ?: RelayedOutcome.DONE }
                logger.info("store call failed on a path verb={} path={} outcomes={}", call.verb, call.path, outcomes)
                RepeatableCall.combined(results[0], results[1])
            }
        }

    private fun repeatableOf(call: RelayedCall): RepeatableCall? =
        when {
            call.verb != RelayedVerb.PUT -> RepeatableCall.READ
            call.expected == null -> RepeatableCall.CREATE
            else -> null
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
                return RelayedReplies.resultOf(reply, relay, call.path, convert)
            }
        }
        return null
    }

    /** Reads an object in parallel with a relayed call, to detect that the object API serves this process again. */
    private fun retryDirectPathIfDue(path: String) {
        if (paths.isDirectRetryDue(now())) {
            paths = paths.directAttemptStarted(now())
            val key = ObjectKey(if (path.endsWith("/")) "$path$PROBE_NAME" else path)
            scope.launch { recordDirectResult(store.get(key)) }
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

        /** Reason for a relayed call that failed because no relay was served. */
        val NO_RELAY_SERVED = StoreFailure.Unavailable("no relay was served")

        /** Name of the object to read in a listed folder; it need not exist. */
        const val PROBE_NAME = "0"
        val logger = LoggerFactory.getLogger(StoreRelay::class.java)
    }
}
