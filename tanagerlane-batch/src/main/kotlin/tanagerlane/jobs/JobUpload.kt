package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import tanagerlane.batch.BatchItem
import tanagerlane.batch.JobKeys
import tanagerlane.batch.MAXIMUM_CHUNK_BYTES
import tanagerlane.batch.maximumChunkItems
import tanagerlane.batch.parseItem
import tanagerlane.job.ChunkItem
import tanagerlane.job.ChunkItems
import tanagerlane.job.JobHeader
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.store.ObjectStore
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Instant

/** Writes the chunks of one submission as its lines arrive; holds one chunk for each model at most. */
internal class JobUpload(
    private val store: ObjectStore,
    private val submission: JobSubmission,
    private val upload: String,
    private val limits: JobLimits,
    private val pause: Duration,
) {
    private val keys = JobKeys(submission.workspace, submission.job)
    private val customIds = HashSet<String>()
    private val openChunks = LinkedHashMap<ModelName, OpenChunk>()
    private val chunkModels = ByteArrayOutputStream()

    suspend fun add(line: Payload): Result<Unit, JobError> {
        val number = customIds.size
        if (number == limits.items) {
            return Err(JobError.TooManyItems(limits.items))
        }
        val item = parseItem(line).getOrElse { return Err(JobError.InvalidItem(number, it)) }
        if (!customIds.add(item.customId)) {
            return Err(JobError.DuplicateCustomId(number, item.customId))
        }
        if (item.model !in openChunks && openChunks.size == limits.models) {
            return Err(JobError.TooManyModels(limits.models))
        }
        return add(item, number)
    }

    private suspend fun add(
        item: BatchItem,
        line: Int,
    ): Result<Unit, JobError> {
        val chunk = openChunks.getOrPut(item.model) { OpenChunk() }
        if (chunk.isFullFor(item)) {
            write(item.model, chunk).getOrElse { return Err(it) }
        }
        chunk.add(item, line)
        return Ok(Unit)
    }

    /** Writes what is left and returns the header to create. */
    suspend fun finish(
        digest: String,
        now: Instant,
    ): Result<JobHeader, JobError> {
        if (customIds.isEmpty()) {
            return Err(JobError.Empty)
        }
        for ((model, chunk) in openChunks) {
            write(model, chunk).getOrElse { return Err(it) }
        }
        return Ok(
            JobHeader(
                workspace = submission.workspace,
                job = submission.job,
                digest = digest,
                upload = upload,
                due = submission.due,
                submittedAt = now,
                models = openChunks.keys.toList(),
                chunkModels = Payload.of(chunkModels.toByteArray()),
                items = customIds.size,
            ),
        )
    }

    /** Deletes the chunks of a submission that was not accepted, as far as the object API answers. */
    suspend fun discard() {
        for (chunk in 0..<chunkModels.size()) {
            val stored = store.get(keys.itemsKey(upload, chunk)).getOrElse { return }
            store.delete(stored.key, stored.version).getOrElse { return }
        }
    }

    private suspend fun write(
        model: ModelName,
        chunk: OpenChunk,
    ): Result<Unit, JobError> {
        val key = keys.itemsKey(upload, chunkModels.size())
        val value = encoded(ChunkItems(chunk.items.toList()))
        store
            .putSettled(key, value, expected = null, pause = pause, tries = WRITE_TRIES)
            .mapError { JobError.StoreUnavailable(it) }
            .getOrElse { return Err(it) }
        chunkModels.write(openChunks.keys.indexOf(model))
        chunk.clear()
        return Ok(Unit)
    }

    private inner class OpenChunk {
        val items = mutableListOf<ChunkItem>()
        private var bytes = 0

        fun isFullFor(item: BatchItem): Boolean {
            val full = items.size >= maximumChunkItems(chunkModels.size())
            return items.isNotEmpty() && (full || bytes + sizeOf(item) > MAXIMUM_CHUNK_BYTES)
        }

        fun add(
            item: BatchItem,
            line: Int,
        ) {
            items += ChunkItem(line, item.customId, item.method, item.url, item.body)
            bytes += sizeOf(item)
        }

        fun clear() {
            items.clear()
            bytes = 0
        }
    }

    private companion object {
        const val WRITE_TRIES = 4
        const val ITEM_OVERHEAD_BYTES = 128

        fun sizeOf(item: BatchItem): Int =
            item.body.size + item.customId.encodeToByteArray().size + item.method.length + item.url.length +
                ITEM_OVERHEAD_BYTES
    }
}
