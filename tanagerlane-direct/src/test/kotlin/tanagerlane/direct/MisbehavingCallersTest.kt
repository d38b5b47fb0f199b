package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.CallerDoor.BATCH
import tanagerlane.direct.CallerDoor.NO_KEY
import tanagerlane.direct.CallerDoor.NO_ROUTE
import tanagerlane.direct.CallerDoor.READINESS_ADDRESS
import tanagerlane.direct.CallerDoor.ROUTE
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against callers that make a process run out of memory or descriptors, and against a process that serves nobody
 * after such callers have gone.
 */
class MisbehavingCallersTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val target = FakeTarget(vertx, "t1", events = ANSWER_EVENTS, pauseMilliseconds = 1, eventFill = EVENT_BYTES)
        val desk = FakeTarget(vertx, "desk", events = 1)
        var running: CrowdedEntry? = null
        var idleDescriptors = 0
        afterSpec {
            running?.close()
            vertx.close().coAwait()
        }

        suspend fun checkServes(entry: CrowdedEntry) {
            var answer: Result<RawCaller.ReceivedAnswer?>? = null
            withClue({ "last answer $answer, output of the entry:\n${entry.output().takeLast(SHOWN_CHARACTERS)}" }) {
                eventually(15.seconds) {
                    answer =
                        withContext(Dispatchers.IO) {
                            runCatching { RawCaller.send(entry.port, "/desk/1", "ordinary${System.nanoTime()}") }
                        }
                    answer.getOrNull()?.status shouldBe 200
                }
            }
        }

        /** Returns the process of the test before unless that has damaged it. */
        suspend fun entry(): CrowdedEntry {
            running?.let { entry ->
                val isSound = entry.isAlive && !entry.output().contains("OutOfMemoryError")
                if (isSound && entry.descriptors <= idleDescriptors + TOLERATED_DESCRIPTORS) return entry
                entry.close()
            }
            if (target.port == 0) {
                target.start()
                desk.start()
            }
            return CrowdedEntry.start(target.port, desk.port).also {
                running = it
                checkServes(it)
                idleDescriptors = it.descriptors
            }
        }

        suspend fun check(
            kind: Misbehaviour,
            door: CallerDoor,
        ) {
            val entry = entry()
            val port = if (door == READINESS_ADDRESS) entry.readyPort else entry.port
            withContext(Dispatchers.IO) {
                CallerCrowd(kind.callers, door, port, kind.send).use { crowd ->
                    crowd.start()
                    delay(READ_TIME)
                    withClue(entry.output().takeLast(SHOWN_CHARACTERS)) {
                        entry.isAlive shouldBe true
                        entry.output() shouldNotContain "OutOfMemoryError"
                    }
                    withClue("descriptors") {
                        entry.descriptors shouldBeLessThan idleDescriptors + MAXIMUM_CROWD_DESCRIPTORS
                    }
                    withClue("heap and direct buffers after a collection, MiB") {
                        entry.memoryAfterCollection().shouldNotBeNull() shouldBeLessThan MAXIMUM_MEMORY_MEBIBYTES
                    }
                    withClue("resident MiB") {
                        entry.residentMebibytes shouldBeLessThan MAXIMUM_RESIDENT_MEBIBYTES
                    }
                    if (kind.isEnded) {
                        eventually(20.seconds) {
                            withClue("descriptors while callers are connected") {
                                entry.descriptors shouldBeLessThan idleDescriptors + TOLERATED_DESCRIPTORS
                            }
                        }
                    }
                }
            }
            checkServes(entry)
            eventually(5.seconds) {
                withClue("descriptors after callers have gone") {
                    entry.descriptors shouldBeLessThan idleDescriptors + TOLERATED_DESCRIPTORS
                }
            }
            entry.output() shouldNotContain "OutOfMemoryError"
        }

        val body = "x".repeat(CrowdedEntry.MAXIMUM_BODY_BYTES - MISSING_BYTES)
        val lengthLine = "Content-Length: ${CrowdedEntry.MAXIMUM_BODY_BYTES}\r\n"
        val chunkedLine = "Transfer-Encoding: chunked\r\n"
        val bodies =
            listOf(
                Misbehaviour("bodies in one piece that stop short of their end") { it.send(head(lengthLine) + body) },
                Misbehaviour("bodies in small pieces that stop short of their end") { socket ->
                    socket.tcpNoDelay = true
                    socket.send(head(lengthLine))
                    body.chunked(PIECE_BYTES).forEach { socket.send(it) }
                },
                Misbehaviour("bodies in chunks of one byte that stop short of their end") { socket ->
                    socket.send(head(chunkedLine))
                    repeat(100) { socket.send("1\r\nx\r\n".repeat(1_000)) }
                },
                Misbehaviour("bodies far over the limit by their length") { socket ->
                    socket.send(head("Content-Length: 400000000\r\n"))
                    repeat(10) { socket.send(body) }
                },
                Misbehaviour("bodies far over the limit in endless chunks") { socket ->
                    socket.send(head(chunkedLine))
                    repeat(100) { socket.send("186a0\r\n${"x".repeat(100_000)}\r\n") }
                },
                Misbehaviour("bodies sent a byte now and then", isEnded = true) { socket ->
                    socket.send(head(lengthLine))
                    socket.sendSlowly(body)
                },
            )
        val others =
            listOf(
                Misbehaviour("heads of thousands of short fields that stop short of their end") {
                    it.send(head("a:\r\n".repeat(16_000)).dropLast(2))
                },
                Misbehaviour(
                    "heads of thousands of short fields before bodies that stop short of their end",
                    callers = 120,
                ) {
                    it.send(head(lengthLine + "a:\r\n".repeat(4_000)) + "x")
                },
                Misbehaviour("requests sent ahead whose answers are not read", callers = 120) { socket ->
                    val request = head().replaceFirst("POST", "GET")
                    repeat(100) { socket.send(request.repeat(200)) }
                },
                Misbehaviour("heads sent a byte now and then", isEnded = true) { socket ->
                    socket.send(head().dropLast(2))
                    socket.sendSlowly("x: ${"y".repeat(10_000)}")
                },
                Misbehaviour("heads that stop half-way", isEnded = true) { it.send(head().take(40)) },
                Misbehaviour("bodies that stop half-way", isEnded = true) { it.send(head(lengthLine) + "x") },
                Misbehaviour("answers read slowly", callers = 100) { socket ->
                    sendUntilAnswered(socket)
                    socket.readSlowly()
                },
                Misbehaviour("answers not read", callers = 100) { sendUntilAnswered(it) },
                Misbehaviour("connections that only open", callers = 400) { },
            )
        val doors = listOf(ROUTE, NO_ROUTE, READINESS_ADDRESS)
        val rows =
            bodies.flatMap { kind -> (doors + NO_KEY + BATCH).map { kind to it } } +
                others.flatMap { kind -> doors.map { kind to it } }

        rows.forEach { (kind, door) ->
            test("${door.name.lowercase().replace('_', ' ')} withstands ${kind.name}") { check(kind, door) }
        }
    }) {
    /**
     * What misbehaving callers do.
     *
     * @property callers number of callers
     * @property isEnded whether the process has to end the connections while the callers go on
     */
    internal class Misbehaviour(
        val name: String,
        val callers: Int = 64,
        val isEnded: Boolean = false,
        val send: CallerCrowd.(Socket) -> Unit,
    )

    private companion object {
        /** Time in which the process reads what the kernel has buffered of the crowd. */
        val READ_TIME = 1.seconds
        const val MISSING_BYTES = 10
        const val PIECE_BYTES = 1_000
        const val ANSWER_EVENTS = 7
        const val EVENT_BYTES = 250_000
        const val SHOWN_CHARACTERS = 2_000

        /** Connections that a process may have beside those of callers. */
        const val TOLERATED_DESCRIPTORS = 24

        /** Bound on the connections of a crowd, a few above the limit in the settings of the process. */
        const val MAXIMUM_CROWD_DESCRIPTORS = CrowdedEntry.MAXIMUM_CONNECTIONS + TOLERATED_DESCRIPTORS

        /** Bound on heap and direct buffers, between the idle process with a full budget and the whole heap. */
        const val MAXIMUM_MEMORY_MEBIBYTES = 40
        const val MAXIMUM_RESIDENT_MEBIBYTES = 240
    }
}
