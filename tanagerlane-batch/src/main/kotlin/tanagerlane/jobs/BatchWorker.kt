package tanagerlane.jobs

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.concurrency.receiveWithin
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Claims chunks of open jobs as the target has idle capacity, runs their items and stores the results.
 *
 * An item may be run more than once when a holder is lost, but only one result of it is ever stored.
 *
 * @param scope scope of all coroutines of the worker; cancelling it stops the worker without releasing its claims
 * @param claimant this process; its incarnation must rise with each start under the same name
 * @param weightOf returns the share of a workspace relative to others
 * @param now returns the time of the process's monotonic clock
 */
public class BatchWorker(
    scope: CoroutineScope,
    private val store: ObjectStore,
    private val claimant: Claimant,
    private val rules: BatchRules,
    private val target: BatchTarget,
    registry: MeterRegistry,
    weightOf: (WorkspaceName) -> Int,
    private val now: () -> Instant,
) {
    private val metrics = BatchMetrics(registry)
    private val workerJob = SupervisorJob(scope.coroutineContext.job)
    private val workerScope = CoroutineScope(scope.coroutineContext + workerJob)
    private val held = HeldChunks()
    private val claimWanted = Channel<Unit>(Channel.CONFLATED)
    private val board = JobBoard(store, metrics, rules.retryInterval, ::boardChanged)
    private val claimer = ChunkClaimer(store, claimant, rules, metrics, weightOf, now)
    private val reaper = JobReaper(store, claimant, rules, board, metrics, now)
    private val dispatcher =
        ItemDispatcher(workerScope, target, held, rules.retryInterval, now) { claimWanted.trySend(Unit) }
    private val keepers = SupervisorJob(workerJob)
    private val keeperScope = CoroutineScope(scope.coroutineContext + keepers)
    private var claiming: Job? = null

    @Volatile
    private var stopping = false

    /** Number of chunks that the worker holds. */
    public val heldChunks: Int get() = held.size

    /** Starts to claim and run. */
    public fun start() {
        check(claiming == null) { "worker of ${claimant.owner} was started before" }
        workerScope.launch { board.follow() }
        workerScope.launch { dispatcher.run() }
        workerScope.launch { reaper.run() }
        claiming = workerScope.launch { claimChunks() }
    }

    /**
     * Stops the worker: claims nothing more, gives running items up to [drain] to end, stores what is done and
     * releases all claims, as far as the object API answers within [RELEASE_TIME].
     */
    public suspend fun stop(drain: Duration) {
        stopping = true
        claimWanted.trySend(Unit)
        held.all().forEach { it.drain() }
        withTimeoutOrNull(drain) { drained() }
        claiming?.cancelAndJoin()
        held.all().forEach { it.release() }
        withTimeoutOrNull(RELEASE_TIME) { keepers.children.toList().joinAll() }
        workerJob.cancelAndJoin()
    }

    /** Lets a claim that is on its way come to its end, so that it can be released. */
    private suspend fun drained() {
        claiming?.join()
        held.all().forEach { it.drain() }
        keepers.children.toList().joinAll()
    }

    private suspend fun claimChunks() {
        while (!stopping) {
            val claim = if (wantsChunk()) claimer.claimNext(board.jobs(), target.models()) else null
            if (claim == null) {
                claimWanted.receiveWithin(rules.retryInterval)
            } else {
                hold(claim)
            }
        }
    }

    private fun wantsChunk(): Boolean = held.size < rules.maximumHeldChunks && dispatcher.spareCapacity > 0

    private fun hold(claim: ChunkClaim) {
        val holder = ChunkHolder(store, claim, rules, metrics, now)
        held.add(holder)
        keeperScope.launch {
            holder.keep()
            held.remove(holder)
            claimer.claimEnded(claim.job)
            claimWanted.trySend(Unit)
            dispatcher.wake()
        }
        if (!board.isOpen(claim.job.keys.headerKey)) {
            holder.release()
        }
        dispatcher.wake()
    }

    private fun boardChanged(ended: Set<ObjectKey>) {
        held
            .all()
            .filter { it.job.keys.headerKey in ended }
            .forEach { it.release() }
        claimWanted.trySend(Unit)
    }

    public companion object {
        /** Time that the object API is given to take the last checkpoints of a stop. */
        public val RELEASE_TIME: Duration = 10.seconds
    }
}
