package tanagerlane.sidecar

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.idempotency.Claim
import tanagerlane.idempotency.ClaimCall
import tanagerlane.idempotency.ClaimDecision
import tanagerlane.idempotency.ClaimKey
import tanagerlane.idempotency.ClaimSet
import tanagerlane.idempotency.ClaimShard
import tanagerlane.idempotency.ClaimShards
import tanagerlane.idempotency.DecidedClaim
import tanagerlane.idempotency.StoredAnswer
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import tanagerlane.runtime.StoredDocuments
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Instant

/** Obtains claims through the object API before calls that must not be repeated are run. */
internal class ClaimCoordinator(
    private val owner: TargetName,
    private val incarnation: Incarnation,
    private val store: ObjectStore,
    private val now: () -> Instant,
) {
    private val shards = ConcurrentHashMap<ObjectKey, ClaimShard>()
    private val pendingDecisions = ConcurrentHashMap<RequestId, CompletableDeferred<ClaimDecision>>()

    /** Decides on [claim]; refuses it as not run if the object API gives no decision within [timeout]. */
    suspend fun decide(
        claim: Claim,
        timeout: Duration,
    ): ClaimDecision {
        val key = ClaimShards.objectOf(claim.key)
        val shard = shardOf(key)
        val decision = CompletableDeferred<ClaimDecision>()
        pendingDecisions[claim.request] = decision
        try {
            shard.submit(claim)?.let { return it }
            return withTimeoutOrNull(timeout) {
                performCalls(key, shard)
                decision.await()
            } ?: withdrawUndecided(shard, claim.request)
        } finally {
            pendingDecisions.remove(claim.request)
        }
    }

    /** Attaches [answer] to the claim of [key], so that repeats receive it. */
    fun recordAnswer(
        key: ClaimKey,
        answer: StoredAnswer,
    ) {
        shardOf(ClaimShards.objectOf(key)).recordAnswer(key, answer)
    }

    private fun withdrawUndecided(
        shard: ClaimShard,
        request: RequestId,
    ): ClaimDecision {
        shard.withdraw(request)
        return ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE)
    }

    private suspend fun performCalls(
        key: ObjectKey,
        shard: ClaimShard,
    ) {
        while (true) {
            val call = shard.nextCall(now()) ?: return
            performCall(key, shard, call).forEach { pendingDecisions[it.request]?.complete(it.decision) }
        }
    }

    private suspend fun performCall(
        key: ObjectKey,
        shard: ClaimShard,
        call: ClaimCall,
    ): List<DecidedClaim> =
        when (call) {
            is ClaimCall.Read -> {
                read(key, shard)
            }

            is ClaimCall.Write -> {
                store
                    .put(key, StoredDocuments.encode(ClaimSet.serializer(), call.claims), call.expected)
                    .mapBoth(success = shard::onWritten, failure = shard::onFailed)
            }
        }

    private suspend fun read(
        key: ObjectKey,
        shard: ClaimShard,
    ): List<DecidedClaim> =
        store.get(key).mapBoth(
            success = { stored ->
                StoredDocuments.decode(ClaimSet.serializer(), stored.value).mapBoth(
                    success = { shard.onRead(it, stored.version) },
                    failure = { shard.onFailed(StoreFailure.Unavailable(it.cause)) },
                )
            },
            failure = { if (it is StoreFailure.NotFound) shard.onRead(NO_CLAIMS, null) else shard.onFailed(it) },
        )

    private fun shardOf(key: ObjectKey): ClaimShard = shards.computeIfAbsent(key) { ClaimShard(owner, incarnation) }

    private companion object {
        val NO_CLAIMS = ClaimSet(emptyList())
    }
}
