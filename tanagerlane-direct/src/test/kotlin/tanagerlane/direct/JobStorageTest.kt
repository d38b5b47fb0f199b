package tanagerlane.direct

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.should
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.beInstanceOf
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class JobStorageTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val items = List(3) { RawItem(RequestId("i$it"), "/jobs/$it", emptyList(), Payload.of("body $it"), tokens = 1) }

        fun record(
            job: String,
            parts: Int,
        ) = JobRecord(
            job = JobId(job),
            route = "jobs",
            routeHost = "localhost",
            service = ServiceName("models"),
            submittedAt = start,
            dueAt = start + 18.seconds,
            keepUntil = start + 60.seconds,
            expiresAt = start + 120.seconds,
            attempts = 2,
            parts = parts,
            items = items.size,
            tokens = 3,
        )

        suspend fun storeJob(
            store: MemoryObjectStore,
            job: String,
        ): JobRecord {
            val storage = JobStorage(store, partBytes = 100)
            val parts = storage.split(items)
            val record = record(job, parts.size)
            storage.create(record, parts).getOrElse { error("$it") }
            items.forEachIndexed { page, item ->
                val result = ListedResult(item.id, ItemEnd.COMPLETED, "text")
                storage.append(record.job, page, listOf(result)).getOrElse { error("$it") }
            }
            storage.end(record.job, start).getOrElse { error("$it") }
            return record
        }

        suspend fun keys(store: MemoryObjectStore) =
            store
                .list("")
                .getOrElse { error("$it") }
                .objects
                .map { it.key.path }

        // Guards against a repeated submission that is refused as not run while an earlier one is being accepted.
        test("a job whose items another process has stored in other parts is not refused for certain") {
            val store = MemoryObjectStore()
            storeJob(store, "taken")
            val storage = JobStorage(store, partBytes = 50)
            val parts = storage.split(items)
            storage.create(record("taken", parts.size), parts).getError() should
                beInstanceOf<StoreFailure.Conflict>()
        }

        test("deleting a job removes all of its objects and none of another job") {
            val store = MemoryObjectStore()
            storeJob(store, "kept")
            val before = keys(store)
            val record = storeJob(store, "done")
            val storage = JobStorage(store, partBytes = 100)
            storage.delete(record) shouldBe Ok(Unit)
            keys(store) shouldBe before
        }

        test("an interrupted deletion is completed by the next one") {
            val store = MemoryObjectStore()
            val record = storeJob(store, "done")
            val flakyStore = FlakyStore(store).also { it.callsLeft = 5 }
            JobStorage(flakyStore, partBytes = 100).delete(record).isErr shouldBe true
            keys(store).any { it.startsWith("jobs/card.") } shouldBe true
            JobStorage(store, partBytes = 100).delete(record) shouldBe Ok(Unit)
            keys(store) shouldBe emptyList()
        }
    })
