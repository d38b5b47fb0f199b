package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.direct.RawCaller.ReceivedAnswer
import tanagerlane.direct.RawTarget.ConnectionEnd
import tanagerlane.direct.ScriptedTargets.Companion.events
import tanagerlane.serving.CallerLimits
import kotlin.time.Duration.Companion.seconds

/** Answers of targets that read the head of a request only, so that its body is still being written. */
class UnwrittenRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets(readsBodies = false)
        var port = 0

        suspend fun send(
            path: String,
            id: String,
            body: String = "",
        ) = targets.call(port, path, id, body)

        beforeSpec {
            val limits = CallerLimits(maximumBodyBytes = 8_000_000)
            val deployment = FakeDeployment(vertx, emptyList(), limits = limits).also { it.prepare() }
            targets.register(deployment)
            port = deployment.start("entry-1", "entry").port
            deployment.start("batch-1", "batch")
            eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
        }
        afterSpec {
            // A connection is not closed before the bytes that wait to be written are.
            targets.close()
            vertx.close().coAwait()
        }

        val ends = listOf(ConnectionEnd.CLOSE, ConnectionEnd.RESET)
        val sizes = listOf(500_000, 3_000_000, 7_000_000)
        ends.flatMap { end -> sizes.map { end to it } }.forEach { (end, size) ->
            val body = "x".repeat(size)

            test("a part of a call's answer without a length is not the answer: $end, $size bytes") {
                val id = "a-$end-$size"
                targets.script(id) { _, _ -> RawTarget.unframed("part", end) }
                send("/calls/1", id, body) shouldBe ReceivedAnswer(502, "", isWhole = true)
                targets.requests(id).size shouldBe 2
            }

            test("a part of a stream without a length that may not be resumed is not complete: $end, $size bytes") {
                val id = "b-$end-$size"
                targets.script(id) { _, _ -> RawTarget.unframed(events(1..3), end) }
                // A connection that is lost may take the events with it that were not read.
                val answer = send("/once/1", id, body)
                (answer?.status == 502 || answer?.isWhole == false) shouldBe true
                targets.requests(id).size shouldBe 1
            }

            test("a stream without a length that may be resumed is resumed after its last event: $end, $size bytes") {
                val id = "c-$end-$size"
                targets.script(id) { number, request ->
                    if (number == 1) RawTarget.unframed(events(1..3), end) else ScriptedTargets.rest(request)
                }
                send("/streams/1", id, body) shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
                targets.requests(id).size shouldBe 2
            }

            test("a part of an item's text without a length is not the whole text: $end, $size bytes") {
                val id = "d-$end-$size"
                targets.script(id) { number, request ->
                    if (number == 1) RawTarget.unframed(events(1..3), end) else ScriptedTargets.rest(request)
                }
                send("/jobs/x", "job-$id", "$id $size")?.status shouldBe 202
                eventually(8.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED 5\n1 of 1" }
                targets.requests(id).size shouldBe 2
            }
        }

        sizes.forEach { size ->
            val body = "x".repeat(size)

            listOf(
                "with a length" to RawTarget.sized(413, "too long"),
                "with a length and a reset connection" to
                    RawTarget.sized(413, "too long", "Connection: close\r\n").copy(end = ConnectionEnd.RESET),
            ).forEach { (name, answer) ->
                test("an answer $name is whole while the request is written: $size bytes") {
                    val id = "e-$name-$size".replace(' ', '-')
                    targets.script(id) { _, _ -> answer }
                    send("/calls/1", id, body) shouldBe ReceivedAnswer(413, "too long", isWhole = true)
                    targets.requests(id).size shouldBe 1
                }
            }

            test("a stream in whole chunks is whole while the request is written: $size bytes") {
                targets.script("f-$size") { _, request -> ScriptedTargets.rest(request) }
                send("/once/1", "f-$size", body) shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
            }

            test("an answer that has no body by its status is whole while the request is written: $size bytes") {
                targets.script("g-$size") { _, _ -> RawTarget.RawAnswer(204, "\r\n", ConnectionEnd.RESET) }
                send("/calls/1", "g-$size", body)?.status shouldBe 204
                targets.requests("g-$size").size shouldBe 1
            }
        }

        test("a connection whose request is still being written after the answer is not used again") {
            val body = "x".repeat(sizes.last())
            repeat(6) { targets.script("h$it") { _, _ -> RawTarget.sized(413, "too long") } }
            val before = targets.connectionCount
            repeat(6) { send("/calls/1", "h$it", body) shouldBe ReceivedAnswer(413, "too long", isWhole = true) }
            // Each target may have connections left from earlier tests.
            (targets.connectionCount - before >= 4) shouldBe true
        }
    })
