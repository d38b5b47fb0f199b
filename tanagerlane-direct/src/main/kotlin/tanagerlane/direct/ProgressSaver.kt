package tanagerlane.direct

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.joblog.RecoveredProgress
import tanagerlane.joblog.SavedProgress
import java.util.concurrent.Callable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Saves at intervals what has come of items, and gives back what an earlier process has saved. */
internal class ProgressSaver(
    private val vertx: Vertx,
    private val file: ProgressFile,
    private val wallClock: () -> Instant,
) {
    private val opened = CompletableDeferred<RecoveredProgress>()

    /** Saves what [held] has until cancelled. */
    suspend fun run(held: () -> Collection<AssignedJob>) {
        if (!opened.isCompleted) {
            opened.complete(blocking { file.open(wallClock()) })
        }
        while (true) {
            delay(INTERVAL)
            save(held())
        }
    }

    /** Gives the items of [job] what was saved of them; waits a little where it has not been read yet. */
    suspend fun restore(job: AssignedJob) {
        val ledger = withTimeoutOrNull(READ_TIME) { opened.await() } ?: return
        for (item in job.log.pending) {
            job.progress.getValue(item.id).restore(ledger.take(job.log.record.job, item.id))
        }
    }

    private suspend fun save(jobs: Collection<AssignedJob>) {
        val isReplaced = file.isLong
        val batch = jobs.flatMap { job -> changesOf(job, isWhole = isReplaced) }
        if (batch.isEmpty()) {
            return
        }
        val items = batch.map { it.saved }
        val isSaved = blocking { if (isReplaced) file.replace(items) else file.append(items) }
        if (isSaved) {
            batch.forEach { it.progress.savedEvents = it.saved.before + it.saved.events.size }
        }
    }

    private fun changesOf(
        job: AssignedJob,
        isWhole: Boolean,
    ): List<Change> =
        job.log.pending
            .map { job.progress.getValue(it.id) }
            .filter { it.savable > it.savedEvents || (isWhole && it.savable > 0) }
            .map { progress ->
                val before = if (isWhole) 0 else progress.savedEvents
                val card = job.log.record
                Change(
                    progress,
                    SavedProgress(card.job, progress.item.id, card.keepUntil, before, progress.savedFrom(before)),
                )
            }

    private suspend fun <T> blocking(action: () -> T): T = vertx.executeBlocking(Callable { action() }).coAwait()

    private data class Change(
        val progress: ItemProgress,
        val saved: SavedProgress,
    )

    private companion object {
        val INTERVAL = 400.milliseconds

        /** Time for which a job waits for the disk before it is run from its beginning. */
        val READ_TIME = 1.seconds
    }
}
