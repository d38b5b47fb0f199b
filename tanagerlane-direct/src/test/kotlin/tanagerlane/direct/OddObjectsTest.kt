package tanagerlane.direct

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.message.ViewObject
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.ServiceName
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import tanagerlane.views.ObjectView
import kotlin.random.Random
import kotlin.time.Instant

/** Objects of the own kinds that were written by somebody else. */
class OddObjectsTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)

        fun record(job: String) =
            JobRecord(
                job = JobId(job),
                route = "jobs",
                routeHost = "localhost",
                service = ServiceName("models"),
                submittedAt = start,
                dueAt = start,
                keepUntil = start,
                expiresAt = start,
                attempts = 2,
                parts = 0,
                items = 1,
                tokens = 3,
            )

        suspend fun bytesOf(record: JobRecord): ByteArray {
            val store = MemoryObjectStore()
            JobStorage(store, partBytes = 100).create(record, emptyList()).getOrElse { error("$it") }
            return store
                .get(ObjectKey("jobs/card.${record.job}"))
                .getOrElse { error("$it") }
                .value
                .toByteArray()
        }

        val storage = JobStorage(MemoryObjectStore(), partBytes = 100)

        data class RecordCase(
            val name: String,
            val bytes: ByteArray,
        )
        val deepArray = ByteArray(200_000) { 0x81.toByte() }
        listOf(
            RecordCase("nothing", ByteArray(0)),
            RecordCase("JSON", """{"metadata":{"name":"card.x"},"spec":7}""".toByteArray()),
            RecordCase("deep JSON", ByteArray(200_000) { '['.code.toByte() }),
            RecordCase("deep arrays", deepArray),
            RecordCase("deep maps", ByteArray(200_000) { 0xa1.toByte() }),
            RecordCase(
                "a deep field that is not known",
                byteArrayOf(0xbf.toByte(), 0x61, 'x'.code.toByte()) + deepArray,
            ),
            RecordCase("a text of 2 GB", byteArrayOf(0xbf.toByte(), 0x7a, 0x7f, -1, -1, -1)),
            RecordCase("a text of negative length", byteArrayOf(0xbf.toByte(), 0x7b, -1, -1, -1, -1, -1, -1, -1, -1)),
            RecordCase("a map of 2 G entries", byteArrayOf(0xba.toByte(), 0x7f, -1, -1, -1)),
            RecordCase("an array of 2 G elements", byteArrayOf(0x9a.toByte(), 0x7f, -1, -1, -1)),
        ).forEach { case ->
            test("a record of ${case.name} is not decoded") {
                storage.decodeRecord(Payload.of(case.bytes)).shouldBeNull()
            }
        }

        test("no change of some bytes of a record is thrown as a fault") {
            val bytes = bytesOf(record("a"))
            val random = Random(7)
            repeat(100_000) {
                val changed = bytes.copyOf(random.nextInt(bytes.size + 1))
                repeat(random.nextInt(4)) {
                    if (changed.isNotEmpty()) {
                        changed[random.nextInt(changed.size)] =
                            random.nextBytes(1)[0]
                    }
                }
                storage.decodeRecord(Payload.of(changed))
            }
        }

        test("an odd record costs no other job and is logged once for each version") {
            val index = JobIndex(storage)
            val logged = ListAppender<ILoggingEvent>().apply { start() }
            val logger = LoggerFactory.getLogger("tanagerlane.direct") as Logger
            logger.addAppender(logged)
            val objects =
                listOf(
                    ViewObject("card.a", 2, Payload.of(bytesOf(record("a")))),
                    ViewObject("card.b", 3, Payload.of(ByteArray(0))),
                    ViewObject("card.c", 4, Payload.of(bytesOf(record("c")))),
                )
            repeat(3) { index.update(ObjectView("jobs", ObjectVersion(4), objects.associateBy { it.name })) }
            logger.detachAppender(logged)
            index.open().map { it.job.text }.toSet() shouldBe setOf("a", "c")
            logged.list.count { "name=card.b version=3" in it.formattedMessage } shouldBe 1
        }
    })
