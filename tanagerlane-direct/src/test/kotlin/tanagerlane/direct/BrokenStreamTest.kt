package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import tanagerlane.direct.RawTarget.ConnectionEnd
import tanagerlane.direct.ScriptedTargets.Companion.events
import kotlin.time.Duration.Companion.seconds

/** Streams of five events that break off after the second one, each followed by an answer of another target. */
class BrokenStreamTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets()
        var port = 0

        suspend fun send(
            path: String,
            id: String,
            headers: String = "",
        ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, headers) }

        beforeSpec {
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            targets.register(deployment)
            port = deployment.start("entry-1", "entry").port
            eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
        }
        afterSpec {
            vertx.close().coAwait()
            targets.close()
        }

        mapOf(
            "between events" to RawTarget.brokenChunks(events(1..2)),
            "inside an event" to RawTarget.brokenChunks(events(1..2) + "id: 3\nda"),
            "between events by a reset" to RawTarget.brokenChunks(events(1..2), ConnectionEnd.RESET),
        ).forEach { (place, broken) ->
            ScriptedTargets.WRONG_ANSWERS.forEach { (name, case) ->
                val (answer, lastEvent) = case
                test("a stream broken off $place and followed by $name is aborted after event $lastEvent") {
                    val id = "a-$place-$name".replace(' ', '-')
                    targets.script(id) { number, _ -> if (number == 1) broken else answer }
                    send("/streams/1", id) shouldBe ReceivedAnswer(200, events(1..lastEvent), isWhole = false)
                    targets
                        .requests(id)
                        .drop(1)
                        .map { it.resumeAfter }
                        .toSet() shouldBe setOf(2)
                }
            }

            test("a stream broken off $place and followed by the rest is complete") {
                val id = "b-$place".replace(' ', '-')
                targets.script(id) { number, request -> if (number == 1) broken else ScriptedTargets.rest(request) }
                send("/streams/1", id) shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
            }

            test("a stream broken off $place that may not be resumed is not sent again") {
                val id = "c-$place".replace(' ', '-')
                targets.script(id) { number, request -> if (number == 1) broken else ScriptedTargets.rest(request) }
                send("/once/1", id) shouldBe ReceivedAnswer(200, events(1..2), isWhole = false)
                targets.requests(id).size shouldBe 1
            }
        }

        test("a stream is completed after refusals of other targets") {
            targets.script("d") { number, request ->
                when (number) {
                    1 -> RawTarget.brokenChunks(events(1..2))
                    2 -> RawTarget.sized(421, "error text\n\n")
                    3 -> RawTarget.sized(503, "error text\n\n", "Not-Run: 1\r\n")
                    else -> ScriptedTargets.rest(request)
                }
            }
            send("/streams/1", "d") shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
        }

        test("events without numbers are not sent twice") {
            val body = "data: a\n\ndata: b\n\n"
            targets.script("e") { number, _ ->
                if (number == 1) RawTarget.brokenChunks(body) else RawTarget.chunked(body)
            }
            send("/streams/1", "e") shouldBe ReceivedAnswer(200, body, isWhole = false)
        }

        test("an error that follows a stream without a complete event is the answer") {
            targets.script("f") { number, _ ->
                if (number == 1) RawTarget.brokenChunks("id: 1\nda") else RawTarget.sized(400, "error text")
            }
            send("/streams/1", "f") shouldBe ReceivedAnswer(400, "error text", isWhole = true)
        }

        test("a stream that the caller resumes after its last event may be empty") {
            targets.script("g") { _, request -> ScriptedTargets.rest(request) }
            send("/streams/1", "g", "Last-Event-Id: 5\r\n") shouldBe ReceivedAnswer(200, "", isWhole = true)
        }
    })
