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

/** Periodically saves the received events of items, and restores the events that an earlier process saved. */
internal class ProgressSaver(
    private val vertx: Vertx,
    private val file: ProgressFile,
    private val wallClock: () -> Instant,
) {
    private val recoveredProgress = CompletableDeferred<RecoveredProgress>()

    /** Reads the saved progress, then saves the progress of [jobs] every [SAVE_INTERVAL] until cancelled. */
    suspend fun run(jobs: () -> Collection<AssignedJob>) {
        if (!recoveredProgress.isCompleted) {
            recoveredProgress.complete(blocking { file.open(wallClock()) })
        }
        while (true) {
            delay(SAVE_INTERVAL)
            save(jobs())
        }
    }

    /** Restores the saved events of the items of [job]; waits up to [READ_TIMEOUT] for the disk to be read. */
    suspend fun restore(job: AssignedJob) {
        val recovered = withTimeoutOrNull(READ_TIMEOUT) { recoveredProgress.await() } ?: return
        for (item in job.log.pending) {
            recovered.take(job.log.record.job, item.id)?.let { job.progress.getValue(item.id).restore(it) }
        }
    }

    private suspend fun save(jobs: Collection<AssignedJob>) {
        val isCompaction = file.needsCompaction
        val batch = jobs.flatMap { job -> unsavedEventsOf(job, isComplete = isCompaction) }
        if (batch.isEmpty()) {
            return
        }
        val items = batch.map { it.saved }
        val isSaved = blocking { if (isCompaction) file.replace(items) else file.append(items) }
        if (isSaved) {
            batch.forEach { it.progress.recordSaved(it.saved.before + it.saved.events.size, it.generation) }
        }
    }

    private fun unsavedEventsOf(
        job: AssignedJob,
        isComplete: Boolean,
    ): List<UnsavedEvents> =
        job.log.pending
            .map { job.progress.getValue(it.id) }
            .filter { it.savableEventCount > it.savedEventCount || (isComplete && it.savableEventCount > 0) }
            .map { progress ->
                val before = if (isComplete) 0 else progress.savedEventCount
                val record = job.log.record
                val events = progress.savableFrom(before)
                UnsavedEvents(
                    progress,
                    progress.generation,
                    SavedProgress(record.job, progress.item.id, record.keepUntil, before, events, progress.version),
                )
            }

    private suspend fun <T> blocking(action: () -> T): T = vertx.executeBlocking(Callable { action() }).coAwait()

    private data class UnsavedEvents(
        val progress: ItemProgress,
        val generation: Int,
        val saved: SavedProgress,
    )

    private companion object {
        val SAVE_INTERVAL = 400.milliseconds

        /** Time for which a job waits for the disk before its items are run from their beginning. */
        val READ_TIMEOUT = 1.seconds
    }
}
