package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import tanagerlane.joblog.SavedEvent
import tanagerlane.joblog.SavedProgress
import tanagerlane.model.Incarnation
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import tanagerlane.model.SoftwareVersion
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ProgressFileTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val job = JobId("night")
        val item = RequestId("i1")
        val version = SoftwareVersion("v1")

        fun events(numbers: IntRange) = numbers.map { SavedEvent(it.toLong(), "event $it") }

        fun progress(
            before: Int,
            numbers: IntRange,
        ) = listOf(SavedProgress(job, item, start + 60.seconds, before, events(numbers), version))

        fun folder(): Path = tempdir().toPath().resolve("data")

        fun reopened(
            folder: Path,
            incarnation: Long = 2,
        ): List<SavedEvent> {
            val recovered =
                ProgressFile(folder, Incarnation(incarnation)).open(start).take(job, item) ?: return emptyList()
            recovered.version shouldBe version
            return recovered.events
        }

        test("a restarted process recovers what was saved and leaves a single file") {
            val folder = folder()
            val file = ProgressFile(folder, Incarnation(1))
            file.open(start).take(job, item) shouldBe null
            file.append(progress(0, 1..3)) shouldBe true
            file.append(progress(3, 4..6)) shouldBe true
            reopened(folder) shouldBe events(1..6)
            reopened(folder, incarnation = 3) shouldBe events(1..6)
            folder.listDirectoryEntries().size shouldBe 1
        }

        test("a file over the size limit is replaced by one with the unfinished items") {
            val folder = folder()
            val file = ProgressFile(folder, Incarnation(1), maximumBytes = 50).apply { open(start) }
            file.needsCompaction shouldBe false
            file.append(progress(0, 1..3))
            file.needsCompaction shouldBe true
            file.replace(progress(0, 1..1)) shouldBe true
            file.append(progress(1, 2..2))
            reopened(folder) shouldBe events(1..2)
        }

        data class Damage(
            val name: String,
            val apply: (ByteArray, Random) -> ByteArray,
        )
        listOf(
            Damage("truncated at a random position") { bytes, random -> bytes.copyOf(random.nextInt(bytes.size)) },
            Damage("with one byte changed") { bytes, random ->
                bytes.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            },
            Damage("followed by random bytes") { bytes, random -> bytes + random.nextBytes(random.nextInt(200)) },
            Damage("of random bytes") { bytes, random -> random.nextBytes(bytes.size) },
        ).forEach { damage ->
            test("a file ${damage.name} yields the events from the first one on without a gap, or none") {
                for (seed in 1..50) {
                    val folder = folder()
                    val file = ProgressFile(folder, Incarnation(1)).apply { open(start) }
                    repeat(5) { file.append(progress(it * 3, it * 3 + 1..it * 3 + 3)) }
                    val path = folder.listDirectoryEntries().single()
                    path.writeBytes(damage.apply(path.readBytes(), Random(seed)))
                    val found = reopened(folder)
                    found shouldBe events(1..found.size)
                }
            }
        }

        test("a folder that is not writable saves nothing and causes no failure") {
            val occupied = tempdir().toPath().resolve("data").apply { writeBytes(ByteArray(1)) }
            val file = ProgressFile(occupied, Incarnation(1))
            file.open(start).take(job, item) shouldBe null
            file.append(progress(0, 1..3)) shouldBe false
        }
    })
