package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import tanagerlane.batch.BatchRules
import tanagerlane.batch.CheckpointDraft
import tanagerlane.batch.HeldChunk
import tanagerlane.batch.attemptsOf
import tanagerlane.concurrency.receiveWithin
import tanagerlane.job.ResultPage
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Instant

/** Holds one claimed chunk: hands out its items and stores their results until the claim ends. */
internal class ChunkHolder(
    private val store: ObjectStore,
    private val claim: ChunkClaim,
    private val rules: BatchRules,
    private val metrics: BatchMetrics,
    private val now: () -> Instant,
) {
    val job: OpenJob get() = claim.job

    private val lock = Any()
    private val itemJobs = HashMap<Int, Job>()
    private val checkpointWanted = Channel<Unit>(Channel.CONFLATED)
    private var held = claim.held
    private var progressAt = now()
    private var draining = false
    private var releasing = false

    init {
        wantCheckpointIfBlocked()
    }

    /** Number of items that may start now. */
    val startableItems: Int get() = synchronized(lock) { if (draining) 0 else held.startableItems }

    /** Returns the item to start next, or null when none may start now. */
    fun nextItem(): Int? = synchronized(lock) { if (draining) null else held.nextItem() }

    /** Whether [item] must run while nothing else runs on the host. */
    fun runsAlone(item: Int): Boolean = synchronized(lock) { held.runsAlone(item, rules) }

    /** Marks [item] as running; returns null when it may no longer start. */
    fun start(item: Int): ItemRun? =
        synchronized(lock) {
            if (draining || held.nextItem() != item) {
                return null
            }
            held = held.started(item)
            progressAt = now()
            runOf(item)
        }

    /** Lets [itemJob], which runs [item], be cancelled when the claim ends. */
    fun attach(
        item: Int,
        itemJob: Job,
    ) {
        val cancelled =
            synchronized(lock) {
                itemJobs[item] = itemJob
                releasing
            }
        if (cancelled) {
            itemJob.cancel()
        }
    }

    /** Records how the attempt of [item] ended. */
    fun end(
        item: Int,
        outcome: ItemOutcome,
    ) {
        synchronized(lock) {
            itemJobs -= item
            held =
                when (outcome) {
                    is ItemOutcome.Answered -> held.answered(item, outcome.statusCode, outcome.body)
                    is ItemOutcome.Failed -> held.failed(item, outcome.reason)
                    ItemOutcome.NotRun -> held.notRun(item)
                }
            if (outcome != ItemOutcome.NotRun) {
                progressAt = now()
            }
        }
        wantCheckpointIfBlocked()
    }

    /** Starts no further item and gives the claim up once none runs. */
    fun drain() {
        synchronized(lock) { draining = true }
        wantCheckpointIfBlocked()
    }

    /** Stops the running items and gives the claim up; the results so far are stored. */
    fun release() {
        val running =
            synchronized(lock) {
                releasing = true
                itemJobs.values.toList()
            }
        drain()
        running.forEach { it.cancel() }
    }

    /** Stores checkpoints until the chunk is finished, given up or lost. */
    suspend fun keep() {
        while (true) {
            checkpointWanted.receiveWithin(rules.checkpointInterval)
            if (!checkpoint()) {
                return
            }
        }
    }

    /** Returns whether the claim is still held. */
    private suspend fun checkpoint(): Boolean {
        val draft = draft()
        val failure = stored(draft).fold({ return keptAfter(draft, it) }, { it })
        metrics.losses.increment()
        logger.info("Claim lost: job={} chunk={} cause={}", job.keys.headerKey, claim.chunk, failure)
        release()
        return false
    }

    private fun draft(): CheckpointDraft =
        synchronized(lock) {
            val release = held.running.isEmpty() && (draining || isStalled())
            val draft = held.checkpoint(rules, release)
            held = held.windowDuringCheckpoint(draft)
            draft
        }

    private fun isStalled(): Boolean = now() - progressAt >= rules.stallTimeout

    /** Stores the pages first, so that a state never names a page that is missing. */
    private suspend fun stored(draft: CheckpointDraft): Result<ObjectVersion, StoreFailure> {
        for (page in draft.pages) {
            val key = job.keys.pageKey(claim.chunk, page.name)
            put(key, encoded(ResultPage(page.results)), null).getOrElse { return Err(it) }
        }
        val version = synchronized(lock) { held.version }
        return put(job.keys.stateKey(claim.chunk), encoded(draft.state), version)
    }

    private suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> = store.putSettled(key, value, expected, rules.retryInterval)

    private fun keptAfter(
        draft: CheckpointDraft,
        version: ObjectVersion,
    ): Boolean {
        metrics.checkpoints.increment()
        metrics.items.increment(draft.pages.sumOf { it.results.size }.toDouble())
        synchronized(lock) { held = held.committed(draft, version) }
        wantCheckpointIfBlocked()
        return draft.state.owner != null
    }

    private fun wantCheckpointIfBlocked() {
        val blocked =
            synchronized(lock) {
                val idle = held.running.isEmpty()
                held.isComplete || held.needsCheckpoint || (draining && idle) || held.resultBytes > EARLY_BYTES
            }
        if (blocked) {
            checkpointWanted.trySend(Unit)
        }
    }

    private fun runOf(item: Int): ItemRun =
        ItemRun(
            workspace = job.header.workspace,
            job = job.header.job,
            model = job.modelOf(claim.chunk),
            item = held.items[item],
            attempt = held.state.attemptsOf(item) + 1,
            due = job.header.due,
        )

    private companion object {
        const val EARLY_BYTES = HeldChunk.MAXIMUM_UNSTORED_BYTES / 2
        val logger: Logger = LoggerFactory.getLogger(ChunkHolder::class.java)
    }
}
