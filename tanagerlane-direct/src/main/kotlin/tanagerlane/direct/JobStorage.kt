package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import tanagerlane.joblog.JobEnd
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.ListedResults
import tanagerlane.joblog.RawItem
import tanagerlane.joblog.RawItems
import tanagerlane.jobs.putSettled
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Stores jobs in the object API: a record for each job, its items in parts that are written before the record, and its
 * results in numbered pages.
 *
 * @param partBytes maximum size of a part in bytes
 */
@OptIn(ExperimentalSerializationApi::class)
internal class JobStorage(
    private val store: ObjectStore,
    private val partBytes: Int,
) {
    /** Encodes [items] and splits them into parts of at most [partBytes] bytes. */
    fun split(items: List<RawItem>): List<Payload> {
        val bytes = format.encodeToByteArray(RawItems(items))
        return (bytes.indices step partBytes).map { start ->
            Payload.of(bytes.copyOfRange(start, minOf(start + partBytes, bytes.size)))
        }
    }

    /**
     * Stores a job; it is accepted once its record is stored.
     *
     * Fails with [StoreFailure.Conflict] if a job of the same name exists, and with
     * [StoreFailure.OutcomeUnknown] if the job may have been accepted.
     */
    suspend fun create(
        record: JobRecord,
        parts: List<Payload>,
    ): Result<Unit, StoreFailure> {
        parts.forEachIndexed { number, part ->
            val failure =
                store.putSettled(partKey(record.job, number), part, null, RETRY_DELAY, ATTEMPTS).getOrElse { it }
            if (failure is StoreFailure) {
                return Err(StoreFailure.Unavailable("part $number not stored: $failure"))
            }
        }
        return store.putSettled(recordKey(record.job), encoded(record), null, RETRY_DELAY, ATTEMPTS).map {}
    }

    /** Reads the record of [job]. */
    suspend fun record(job: JobId): Result<JobRecord, StoreFailure> = store.get(recordKey(job)).decoded()

    /** Decodes the value of a record object, or returns null if it is unreadable. */
    fun decodeRecord(value: Payload): JobRecord? =
        try {
            format.decodeFromByteArray<JobRecord>(value.toByteArray())
        } catch (_: IllegalArgumentException) {
            null
        }

    /** Reads the items of a job. */
    suspend fun items(record: JobRecord): Result<List<RawItem>, StoreFailure> {
        val bytes = ByteArrayOutputStream()
        repeat(record.parts) { number ->
            val part = store.get(partKey(record.job, number)).getOrElse { return Err(it) }
            bytes.write(part.value.toByteArray())
        }
        return decoded<RawItems>(partKey(record.job, 0), bytes.toByteArray()).map { it.items }
    }

    /** Reads the pages of results in the order of their numbers. */
    suspend fun pages(job: JobId): Result<List<List<ListedResult>>, StoreFailure> {
        val listing = store.list("${resultsKind(job)}/").getOrElse { return Err(it) }
        val pages = listing.objects.sortedBy { it.key.path }
        return Ok(
            pages.map { page ->
                decoded<ListedResults>(page.key, page.value.toByteArray()).getOrElse { return Err(it) }.results
            },
        )
    }

    /** Returns whether the page with number [page] is stored. */
    suspend fun hasPage(
        job: JobId,
        page: Int,
    ): Result<Boolean, StoreFailure> =
        store.get(pageKey(job, page)).fold(
            success = { Ok(true) },
            failure = { if (it is StoreFailure.NotFound) Ok(false) else Err(it) },
        )

    /** Appends a page; fails with [StoreFailure.Conflict] if another page with that number exists. */
    suspend fun append(
        job: JobId,
        page: Int,
        results: List<ListedResult>,
    ): Result<Unit, StoreFailure> =
        store.putSettled(pageKey(job, page), encoded(ListedResults(results)), null, RETRY_DELAY, ATTEMPTS).map {}

    /** Records that the client ended [job]; succeeds also if that was recorded before. */
    suspend fun end(
        job: JobId,
        now: Instant,
    ): Result<Unit, StoreFailure> {
        val failure = store.put(endKey(job), encoded(JobEnd(now)), null).getOrElse { it }
        return if (failure is StoreFailure && failure !is StoreFailure.Conflict) Err(failure) else Ok(Unit)
    }

    /** Deletes all objects of a job, its record last, so that an interrupted deletion is found and completed later. */
    suspend fun delete(record: JobRecord): Result<Unit, StoreFailure> {
        val pages = store.list("${resultsKind(record.job)}/").getOrElse { return Err(it) }
        for (page in pages.objects) {
            store.delete(page.key, page.version).getOrElse { return Err(it) }
        }
        val parts = (0 until record.parts).map { partKey(record.job, it) }
        for (key in parts + endKey(record.job) + recordKey(record.job)) {
            deleteIfPresent(key).getOrElse { return Err(it) }
        }
        return Ok(Unit)
    }

    private suspend fun deleteIfPresent(key: ObjectKey): Result<Unit, StoreFailure> {
        val stored =
            store.get(key).getOrElse { return if (it is StoreFailure.NotFound) Ok(Unit) else Err(it) }
        return store.delete(key, stored.version)
    }

    private inline fun <reified T> encoded(value: T): Payload = Payload.of(format.encodeToByteArray(value))

    private inline fun <reified T> Result<StoredObject, StoreFailure>.decoded(): Result<T, StoreFailure> {
        val stored = getOrElse { return Err(it) }
        return decoded(stored.key, stored.value.toByteArray())
    }

    private inline fun <reified T> decoded(
        key: ObjectKey,
        bytes: ByteArray,
    ): Result<T, StoreFailure> =
        try {
            Ok(format.decodeFromByteArray<T>(bytes))
        } catch (exception: IllegalArgumentException) {
            Err(StoreFailure.Unavailable("unreadable object $key: ${exception.message}"))
        }

    internal companion object {
        /** Kind of the objects that hold the records and ends of jobs. */
        const val JOBS_KIND = "jobs"
        const val RECORD_PREFIX = "card."
        const val END_PREFIX = "end."

        /** Number of times that a write is attempted. */
        private const val ATTEMPTS = 3

        /** Time between two attempts of a write. */
        private val RETRY_DELAY = 100.milliseconds
        private val format =
            Cbor {
                alwaysUseByteString = true
                ignoreUnknownKeys = true
            }

        private fun recordKey(job: JobId) = ObjectKey("$JOBS_KIND/$RECORD_PREFIX${job.text}")

        private fun endKey(job: JobId) = ObjectKey("$JOBS_KIND/$END_PREFIX${job.text}")

        private fun partKey(
            job: JobId,
            number: Int,
        ) = ObjectKey("job-items/${job.text}.$number")

        private fun resultsKind(job: JobId) = "job-results-${job.text}"

        private fun pageKey(
            job: JobId,
            page: Int,
        ) = ObjectKey("${resultsKind(job)}/${page.toString().padStart(PAGE_DIGITS, '0')}")

        private const val PAGE_DIGITS = 6
    }
}
