package tanagerlane.direct

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.standin.store.MemoryObjectStore
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class JobStorageTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val items = List(3) { RawItem(RequestId("i$it"), "/jobs/$it", emptyList(), Payload.of("body $it"), tokens = 1) }

        fun card(
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

        suspend fun stored(
            store: MemoryObjectStore,
            job: String,
        ): JobRecord {
            val storage = JobStorage(store, partBytes = 100)
            val parts = storage.partsOf(items)
            val card = card(job, parts.size)
            storage.create(card, parts).getOrElse { error("$it") }
            items.forEachIndexed { page, item ->
                val result = ListedResult(item.id, ItemEnd.COMPLETED, "text")
                storage.append(card.job, page, listOf(result)).getOrElse { error("$it") }
            }
            storage.end(card.job, start).getOrElse { error("$it") }
            return card
        }

        suspend fun keys(store: MemoryObjectStore) =
            store
                .list("")
                .getOrElse { error("$it") }
                .objects
                .map { it.key.path }

        test("a deleted job leaves nothing behind and takes nothing of another") {
            val store = MemoryObjectStore()
            stored(store, "kept")
            val before = keys(store)
            val card = stored(store, "done")
            val storage = JobStorage(store, partBytes = 100)
            storage.delete(card) shouldBe Ok(Unit)
            keys(store) shouldBe before
        }

        test("a deletion that was cut short is finished by the next one") {
            val store = MemoryObjectStore()
            val card = stored(store, "done")
            val flaky = FlakyStore(store).also { it.callsLeft = 5 }
            JobStorage(flaky, partBytes = 100).delete(card).isErr shouldBe true
            keys(store).any { it.startsWith("jobs/card.") } shouldBe true
            JobStorage(store, partBytes = 100).delete(card) shouldBe Ok(Unit)
            keys(store) shouldBe emptyList()
        }
    })
