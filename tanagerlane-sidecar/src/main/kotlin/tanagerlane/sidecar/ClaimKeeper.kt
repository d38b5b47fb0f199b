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

/** Agrees claims through the object API before calls are run that may not be repeated. */
internal class ClaimKeeper(
    private val owner: TargetName,
    private val incarnation: Incarnation,
    private val store: ObjectStore,
    private val now: () -> Instant,
) {
    private val shards = ConcurrentHashMap<ObjectKey, ClaimShard>()
    private val waiting = ConcurrentHashMap<RequestId, CompletableDeferred<ClaimDecision>>()

    /** Decides on [claim], waiting for the object API up to [patience]. */
    suspend fun ask(
        claim: Claim,
        patience: Duration,
    ): ClaimDecision {
        val key = ClaimShards.objectOf(claim.key)
        val shard = shardOf(key)
        val answer = CompletableDeferred<ClaimDecision>()
        waiting[claim.request] = answer
        try {
            shard.submit(claim)?.let { return it }
            return withTimeoutOrNull(patience) {
                settle(key, shard)
                answer.await()
            } ?: gaveUp(shard, claim.request)
        } finally {
            waiting.remove(claim.request)
        }
    }

    /** Keeps [answer] with its claim. */
    fun answered(
        key: ClaimKey,
        answer: StoredAnswer,
    ) {
        shardOf(ClaimShards.objectOf(key)).recordAnswer(key, answer)
    }

    private fun gaveUp(
        shard: ClaimShard,
        request: RequestId,
    ): ClaimDecision {
        shard.withdraw(request)
        return ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE)
    }

    private suspend fun settle(
        key: ObjectKey,
        shard: ClaimShard,
    ) {
        while (true) {
            val call = shard.nextCall(now()) ?: return
            perform(key, shard, call).forEach { waiting[it.request]?.complete(it.decision) }
        }
    }

    private suspend fun perform(
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
            failure = { if (it is StoreFailure.NotFound) shard.onRead(NOTHING, null) else shard.onFailed(it) },
        )

    private fun shardOf(key: ObjectKey): ClaimShard = shards.computeIfAbsent(key) { ClaimShard(owner, incarnation) }

    private companion object {
        val NOTHING = ClaimSet(emptyList())
    }
}
