package tanagerlane.jobs

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.batch.HeldChunk
import tanagerlane.batch.LeaseObservations
import tanagerlane.batch.WorkspaceShares
import tanagerlane.batch.claimedBy
import tanagerlane.batch.doneItems
import tanagerlane.batch.isClaimable
import tanagerlane.batch.isFinished
import tanagerlane.batch.orderedJobs
import tanagerlane.batch.rendezvousOrder
import tanagerlane.job.ChunkItem
import tanagerlane.job.ChunkItems
import tanagerlane.job.ChunkState
import tanagerlane.job.JobPhase
import tanagerlane.model.ModelName
import tanagerlane.model.WorkspaceName
import tanagerlane.store.Listing
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** Chooses and claims chunks; used by one coroutine at a time but for [claimEnded]. */
internal class ChunkClaimer(
    private val store: ObjectStore,
    private val claimant: Claimant,
    private val rules: BatchRules,
    private val metrics: BatchMetrics,
    private val weightOf: (WorkspaceName) -> Int,
    private val now: () -> Instant,
) {
    private val views = HashMap<ObjectKey, JobView>()
    private val endedIn: MutableSet<ObjectKey> = ConcurrentHashMap.newKeySet()
    private var observations = LeaseObservations(maximumGap = rules.leaseTerm / OBSERVATION_PARTS)
    private var shares = WorkspaceShares()

    /** Claims the next chunk whose model is among [models], or returns null when there is none now. */
    suspend fun claimNext(
        open: Collection<OpenJob>,
        models: Set<ModelName>,
    ): ChunkClaim? {
        forgetAllBut(open)
        val usable = open.filter { job -> job.header.models.any { it in models } }.associateBy { it.header }
        shares = shares.restrictedTo(usable.keys.map { it.workspace }.toSet())
        var listings = 0
        for (header in orderedJobs(usable.keys, shares)) {
            val job = usable.getValue(header)
            if (isStale(job, usable.size)) {
                if (job.keys.headerKey in views && listings++ >= LISTINGS_AT_ONCE) {
                    continue
                }
                list(job) ?: return null
            }
            claimFrom(job, models)?.let { return it }
            if (endedIn.remove(job.keys.headerKey)) {
                list(job) ?: return null
                claimFrom(job, models)?.let { return it }
            }
        }
        return null
    }

    /** Notes that a claim of this process on a chunk of [job] ended; may be called from any thread. */
    fun claimEnded(job: OpenJob) {
        endedIn += job.keys.headerKey
    }

    private fun forgetAllBut(open: Collection<OpenJob>) {
        val keys = open.map { it.keys.headerKey }.toSet()
        endedIn.retainAll(keys)
        for (key in views.keys - keys) {
            val prefix = views.remove(key)?.statePrefix ?: continue
            observations = observations.withoutPrefix(prefix)
        }
    }

    private fun isStale(
        job: OpenJob,
        openJobs: Int,
    ): Boolean {
        val view = views[job.keys.headerKey] ?: return true
        val share = openJobs / (LISTINGS_AT_ONCE * LISTING_ROUNDS) + 1
        return now() - view.listedAt >= rules.listingInterval * share
    }

    private suspend fun list(job: OpenJob): JobView? {
        val listing =
            store.list(job.keys.statePrefix).fold({ it }, {
                metrics.failedCalls.increment()
                return null
            })
        val states = statesOf(listing)
        val held = states.filterValues { it.value.owner != null }
        val versions = held.entries.associate { (chunk, state) -> job.keys.stateKey(chunk) to state.version }
        observations = observations.observed(versions, now())
        val view = JobView(statePrefix = job.keys.statePrefix, listedAt = now(), states = states)
        views[job.keys.headerKey] = view
        return view
    }

    private fun statesOf(listing: Listing): Map<Int, Versioned<ChunkState>> {
        val states = HashMap<Int, Versioned<ChunkState>>()
        for (stored in listing.objects) {
            stored.decoded<ChunkState>().fold(
                { states[chunkOf(stored)] = Versioned(it, stored.version) },
                { metrics.unreadable.increment() },
            )
        }
        return states
    }

    private suspend fun claimFrom(
        job: OpenJob,
        models: Set<ModelName>,
    ): ChunkClaim? {
        val view = views.getValue(job.keys.headerKey)
        if (view.states.size == job.chunkCount && view.states.values.all { it.value.isFinished }) {
            finish(job)
            return null
        }
        val claimable = (0..<job.chunkCount).filter { job.modelOf(it) in models && isClaimable(job, it, view) }
        for (chunk in rendezvousOrder(job.keys, claimable, claimant).take(CLAIMS_AT_ONCE)) {
            take(job, chunk)
            claim(job, chunk, view.states[chunk])?.let { return it }
        }
        return null
    }

    private fun isClaimable(
        job: OpenJob,
        chunk: Int,
        view: JobView,
    ): Boolean {
        val state = view.states[chunk]
        return when {
            chunk in view.taken -> false
            state == null -> true
            else -> state.value.isClaimable(claimant, isLapsed(job, chunk, state))
        }
    }

    private fun isLapsed(
        job: OpenJob,
        chunk: Int,
        state: Versioned<ChunkState>,
    ): Boolean = observations.isExpired(job.keys.stateKey(chunk), state.version, rules.leaseTerm)

    private fun take(
        job: OpenJob,
        chunk: Int,
    ) {
        views.computeIfPresent(job.keys.headerKey) { _, view -> view.copy(taken = view.taken + chunk) }
    }

    private suspend fun claim(
        job: OpenJob,
        chunk: Int,
        found: Versioned<ChunkState>?,
    ): ChunkClaim? {
        val items = itemsOf(job, chunk) ?: return null
        val before = found?.value ?: ChunkState(items = items.size)
        val after = before.claimedBy(claimant, rules)
        val version =
            store.putSettled(job.keys.stateKey(chunk), encoded(after), found?.version, rules.retryInterval).getOrElse {
                return null
            }
        noteClaim(job, chunk, before)
        return ChunkClaim(job, chunk, HeldChunk(after, version, items).withExhaustedItemsFailed(rules))
    }

    private suspend fun itemsOf(
        job: OpenJob,
        chunk: Int,
    ): List<ChunkItem>? {
        val stored =
            store.get(job.keys.itemsKey(job.header.upload, chunk)).getOrElse {
                metrics.failedCalls.increment()
                return null
            }
        return stored.decoded<ChunkItems>().map { it.items }.getOrElse {
            metrics.unreadable.increment()
            null
        }
    }

    private fun noteClaim(
        job: OpenJob,
        chunk: Int,
        before: ChunkState,
    ) {
        val workspace = job.header.workspace
        shares = shares.charged(workspace, before.items - before.doneItems, weightOf(workspace))
        metrics.claims.increment()
        if (before.owner != null) {
            metrics.takeovers.increment()
            logger.info("Claim taken over: job={} chunk={} from={}", job.keys.headerKey, chunk, before.owner)
        }
    }

    private suspend fun finish(job: OpenJob) {
        val finished = job.header.copy(phase = JobPhase.FINISHED, endedAt = now())
        store
            .putSettled(job.keys.headerKey, encoded(finished), job.version, rules.retryInterval, FINISH_TRIES)
            .fold({ }, { metrics.failedCalls.increment() })
    }

    private companion object {
        const val OBSERVATION_PARTS = 4
        const val LISTINGS_AT_ONCE = 2
        const val LISTING_ROUNDS = 3
        const val CLAIMS_AT_ONCE = 3
        const val FINISH_TRIES = 3
        val logger: Logger = LoggerFactory.getLogger(ChunkClaimer::class.java)
    }
}
