package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onErr
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobEnd
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.ListedResults
import tanagerlane.joblog.RawItem
import tanagerlane.joblog.RawItems
import tanagerlane.joblog.TextSize
import tanagerlane.jobs.putSettled
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.io.ByteArrayOutputStream
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Stores jobs in the object API: a record for each job, its items in parts that are written before the record, and its
 * results in numbered pages.
 *
 * A page with one result that is too large for an object is stored in parts, which are written before the page.
 *
 * @param partBytes maximum size of a part or page in bytes, as encoded here
 */
@OptIn(ExperimentalSerializationApi::class)
internal class JobStorage(
    private val store: ObjectStore,
    private var partBytes: Int,
) {
    /** Encodes [items] and splits them into parts of at most [partBytes] bytes. */
    fun split(items: List<RawItem>): List<Payload> {
        val bytes = format.encodeToByteArray(RawItems(items))
        return split(bytes)
    }

    private fun split(bytes: ByteArray): List<Payload> =
        (bytes.indices step partBytes).map { start ->
            Payload.of(bytes.copyOfRange(start, minOf(start + partBytes, bytes.size)))
        }

    /** Returns as many of the first [results] as fit into one object, but at least one. */
    fun firstPage(results: List<ListedResult>): List<ListedResult> =
        results.takeWithinBytes(partBytes - PAGE_FRAME_BYTES, ::encodedBytes)

    /**
     * Stores a job; it is accepted once its record is stored.
     *
     * Fails with [StoreFailure.Conflict] if a job of the same name exists or is being stored, with
     * [StoreFailure.OutcomeUnknown] if the job may have been accepted, and with [StoreFailure.TooLarge] if the object
     * API refuses parts of this size; [split] makes smaller ones from then on.
     */
    suspend fun create(
        record: JobRecord,
        parts: List<Payload>,
    ): Result<Unit, StoreFailure> {
        parts.forEachIndexed { number, part ->
            store.putSettled(partKey(record.job, number), part, null, RETRY_DELAY, ATTEMPTS).onErr { failure ->
                reduceSizeAfter(failure)
                val concernsJob = failure is StoreFailure.TooLarge || failure is StoreFailure.Conflict
                return Err(if (concernsJob) failure else StoreFailure.Unavailable("part $number not stored: $failure"))
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
        val objects = listing.objects.associateBy { it.key }
        val keys = objects.keys.filterNot { isPartOfPage(job, it) }.sortedBy { it.path }
        return Ok(keys.map { key -> resultsOf(job, key, objects).getOrElse { return Err(it) } })
    }

    /** Returns the results of the page [key] among the [objects] of a job. */
    private fun resultsOf(
        job: JobId,
        key: ObjectKey,
        objects: Map<ObjectKey, StoredObject>,
    ): Result<List<ListedResult>, StoreFailure> {
        val page =
            decoded<ListedResults>(key, objects.getValue(key).value.toByteArray()).getOrElse { return Err(it) }
        if (page.parts.isEmpty()) {
            return Ok(page.results)
        }
        val bytes = ByteArrayOutputStream()
        for (part in page.parts.map { resultsKey(job, it) }) {
            val stored = objects[part] ?: return Err(StoreFailure.Unavailable("part $part of page $key is missing"))
            bytes.write(stored.value.toByteArray())
        }
        return decoded<ListedResults>(key, bytes.toByteArray()).map { it.results }
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

    /**
     * Appends a page; fails with [StoreFailure.Conflict] if another page with that number exists, and with
     * [StoreFailure.TooLarge] if the object API refuses pages of this size; [firstPage] makes smaller ones from then on.
     */
    suspend fun append(
        job: JobId,
        page: Int,
        results: List<ListedResult>,
    ): Result<Unit, StoreFailure> {
        val bytes = format.encodeToByteArray(ListedResults(results))
        val value =
            if (bytes.size <= partBytes) Payload.of(bytes) else storeInParts(job, bytes).getOrElse { return Err(it) }
        return store
            .putSettled(pageKey(job, page), value, null, RETRY_DELAY, ATTEMPTS)
            .map {}
            .onErr(::reduceSizeAfter)
    }

    /**
     * Stores a page of [bytes] in parts and returns the page that names them.
     *
     * The names are new for each call, because another process may be storing a page with the same number.
     */
    private suspend fun storeInParts(
        job: JobId,
        bytes: ByteArray,
    ): Result<Payload, StoreFailure> {
        val upload = UUID.randomUUID()
        val names =
            split(bytes).mapIndexed { number, part ->
                val name = "$PART_PREFIX$upload.$number"
                store.putSettled(resultsKey(job, name), part, null, RETRY_DELAY, ATTEMPTS).onErr {
                    reduceSizeAfter(it)
                    return Err(it)
                }
                name
            }
        return Ok(encoded(ListedResults(results = emptyList(), parts = names)))
    }

    /** Makes parts and pages smaller if the object API refused one, because it would refuse the same one again. */
    private fun reduceSizeAfter(failure: StoreFailure) {
        if (failure is StoreFailure.TooLarge && partBytes > MINIMUM_PART_BYTES) {
            partBytes = maxOf(partBytes / 2, MINIMUM_PART_BYTES)
            logger.warn("object too large key={} part_bytes={}", failure.key, partBytes)
        }
    }

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
        for (page in pages.objects.sortedBy { isPartOfPage(record.job, it.key) }) {
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

        /**
         * Returns the bytes that [result] takes up on a page of the object API or in a message; at most
         * [RESULT_FRAME_BYTES] too many.
         */
        fun encodedBytes(result: ListedResult): Int =
            TextSize.utf8(result.text) + TextSize.utf8(result.id.text) + RESULT_FRAME_BYTES

        private fun resultsKind(job: JobId) = "job-results-${job.text}"

        private fun resultsKey(
            job: JobId,
            name: String,
        ) = ObjectKey("${resultsKind(job)}/$name")

        private fun isPartOfPage(
            job: JobId,
            key: ObjectKey,
        ): Boolean = key.path.startsWith("${resultsKind(job)}/$PART_PREFIX")

        private fun pageKey(
            job: JobId,
            page: Int,
        ) = resultsKey(job, page.toString().padStart(PAGE_DIGITS, '0'))

        private const val PAGE_DIGITS = 6

        /** Beginning of the names of the parts of a page; names of pages consist of digits. */
        private const val PART_PREFIX = "part."

        /** Maximum bytes of a result on a page in addition to its id and its text. */
        private const val RESULT_FRAME_BYTES = 48

        /** Maximum bytes of a page in addition to its results. */
        private const val PAGE_FRAME_BYTES = 16

        /** Size in bytes below which parts and pages are not reduced. */
        private const val MINIMUM_PART_BYTES = 1024
        private val logger = LoggerFactory.getLogger(JobStorage::class.java)
    }
}
