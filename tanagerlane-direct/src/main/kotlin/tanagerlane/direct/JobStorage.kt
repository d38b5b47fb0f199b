package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
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
 * Keeps jobs in the object API: a card, the items in parts before it, and results in numbered pages.
 *
 * @param partBytes longest part, in bytes
 */
@OptIn(ExperimentalSerializationApi::class)
internal class JobStorage(
    private val store: ObjectStore,
    private val partBytes: Int,
) {
    /** Returns the parts that hold [items]. */
    fun partsOf(items: List<RawItem>): List<Payload> {
        val bytes = format.encodeToByteArray(RawItems(items))
        return (bytes.indices step partBytes).map { start ->
            Payload.of(bytes.copyOfRange(start, minOf(start + partBytes, bytes.size)))
        }
    }

    /**
     * Stores a job; it is accepted once its card is stored.
     *
     * Fails with [StoreFailure.Conflict] when a job of the same name is there, and with
     * [StoreFailure.OutcomeUnknown] when it may have been accepted.
     */
    suspend fun create(
        card: JobRecord,
        parts: List<Payload>,
    ): Result<Unit, StoreFailure> {
        parts.forEachIndexed { number, part ->
            val failure = store.putSettled(partKey(card.job, number), part, null, PAUSE, TRIES).getOrElse { it }
            if (failure is StoreFailure) {
                return Err(StoreFailure.Unavailable("part $number not stored: $failure"))
            }
        }
        return store.putSettled(cardKey(card.job), encoded(card), null, PAUSE, TRIES).map {}
    }

    suspend fun record(job: JobId): Result<JobRecord, StoreFailure> = store.get(cardKey(job)).decoded()

    /** Reads a card from the object of a view. */
    fun decodeRecord(value: Payload): JobRecord? =
        try {
            format.decodeFromByteArray<JobRecord>(value.toByteArray())
        } catch (_: IllegalArgumentException) {
            null
        }

    suspend fun items(card: JobRecord): Result<List<RawItem>, StoreFailure> {
        val bytes = ByteArrayOutputStream()
        repeat(card.parts) { number ->
            val part = store.get(partKey(card.job, number)).getOrElse { return Err(it) }
            bytes.write(part.value.toByteArray())
        }
        return decoded<RawItems>(partKey(card.job, 0), bytes.toByteArray()).map { it.items }
    }

    /** Returns the pages of results in their order. */
    suspend fun pages(job: JobId): Result<List<List<ListedResult>>, StoreFailure> {
        val listing = store.list("${resultsKind(job)}/").getOrElse { return Err(it) }
        val pages = listing.objects.sortedBy { it.key.path }
        return Ok(
            pages.map { page ->
                decoded<ListedResults>(page.key, page.value.toByteArray()).getOrElse { return Err(it) }.results
            },
        )
    }

    /** Appends a page; fails with [StoreFailure.Conflict] when there is another with that number. */
    suspend fun append(
        job: JobId,
        page: Int,
        results: List<ListedResult>,
    ): Result<Unit, StoreFailure> =
        store.putSettled(pageKey(job, page), encoded(ListedResults(results)), null, PAUSE, TRIES).map {}

    /** Records that the client ended [job]. */
    suspend fun end(
        job: JobId,
        now: Instant,
    ): Result<Unit, StoreFailure> {
        val failure = store.put(endKey(job), encoded(JobEnd(now)), null).getOrElse { it }
        return if (failure is StoreFailure && failure !is StoreFailure.Conflict) Err(failure) else Ok(Unit)
    }

    /** Deletes all of a job, its card last, so that a deletion that was cut short is found and finished. */
    suspend fun delete(card: JobRecord): Result<Unit, StoreFailure> {
        val pages = store.list("${resultsKind(card.job)}/").getOrElse { return Err(it) }
        for (page in pages.objects) {
            store.delete(page.key, page.version).getOrElse { return Err(it) }
        }
        val parts = (0 until card.parts).map { partKey(card.job, it) }
        for (key in parts + endKey(card.job) + cardKey(card.job)) {
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
        /** Kind of the cards and ends of jobs. */
        const val JOBS_KIND = "jobs"
        const val RECORD_PREFIX = "card."
        const val END_PREFIX = "end."
        private const val TRIES = 3
        private val PAUSE = 100.milliseconds
        private val format =
            Cbor {
                alwaysUseByteString = true
                ignoreUnknownKeys = true
            }

        private fun cardKey(job: JobId) = ObjectKey("$JOBS_KIND/$RECORD_PREFIX${job.text}")

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
