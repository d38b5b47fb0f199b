package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import tanagerlane.direct.RawTarget.ConnectionEnd
import tanagerlane.direct.ScriptedTargets.Companion.events
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers with neither a length nor chunks, which end with their connection. */
class UnframedAnswerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets()
        var port = 0

        /** Sends a request, again while the entry refuses it as overloaded before any target has received it. */
        suspend fun send(
            path: String,
            id: String,
            body: String = "",
        ): ReceivedAnswer? {
            repeat(REPEATS) {
                val answer = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body) }
                if (answer?.status != REFUSED || targets.requests(id).isNotEmpty()) return answer
                delay(PAUSE)
            }
            error("refused $REPEATS times: $path $id")
        }

        beforeSpec {
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            targets.register(deployment)
            port = deployment.start("entry-1", "entry").port
            deployment.start("batch-1", "batch")
            eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
        }
        afterSpec {
            vertx.close().coAwait()
            targets.close()
        }

        /**
         * [resumedAfter] is the event after which the stream is resumed, or null if it is complete.
         *
         * @property received last event received from the first target
         */
        data class StreamCase(
            val name: String,
            val body: String,
            val end: ConnectionEnd,
            val received: Int,
            val isComplete: Boolean = false,
        )
        val cases =
            listOf(
                StreamCase("closed at its end", events(1..5), ConnectionEnd.CLOSE, received = 5, isComplete = true),
                StreamCase("closed inside an event", events(1..3) + "id: 4\nda", ConnectionEnd.CLOSE, received = 3),
                StreamCase("reset between events", events(1..3), ConnectionEnd.RESET, received = 3),
                StreamCase("reset inside an event", events(1..3) + "id: 4\nda", ConnectionEnd.RESET, received = 3),
            )
        cases.forEach { case ->
            val resumptions = if (case.isComplete) listOf(null) else listOf(null, case.received)

            test("a stream without a length that is ${case.name} is forwarded, and resumed if it is incomplete") {
                val id = "a-${case.name}".replace(' ', '-')
                targets.script(id) { number, request ->
                    if (number == 1) RawTarget.unframed(case.body, case.end) else ScriptedTargets.rest(request)
                }
                send("/streams/1", id) shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
                targets.requests(id).map { it.resumeAfter } shouldBe resumptions
            }

            test("a stream without a length that is ${case.name} and may not be resumed is forwarded as it came") {
                val id = "b-${case.name}".replace(' ', '-')
                targets.script(id) { _, _ -> RawTarget.unframed(case.body, case.end) }
                send("/once/1", id) shouldBe ReceivedAnswer(200, events(1..case.received), case.isComplete)
                targets.requests(id).size shouldBe 1
            }

            test("the rest of a stream without a length that is ${case.name} ends the stream only if it is complete") {
                val id = "c-${case.name}".replace(' ', '-')
                targets.script(id) { number, _ ->
                    if (number == 1) {
                        RawTarget.brokenChunks(events(1..2))
                    } else {
                        RawTarget.unframed(case.body.removePrefix(events(1..2)), case.end)
                    }
                }
                send("/streams/1", id) shouldBe ReceivedAnswer(200, events(1..case.received), case.isComplete)
            }

            test("an item whose answer has no length and is ${case.name} is completed once") {
                val id = "d-${case.name}".replace(' ', '-')
                targets.script(id) { number, request ->
                    if (number == 1) RawTarget.unframed(case.body, case.end) else ScriptedTargets.rest(request)
                }
                send("/jobs/x", "job-$id", id)?.status shouldBe 202
                eventually(8.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED 5\n1 of 1" }
                targets.requests(id).map { it.resumeAfter } shouldBe resumptions
            }
        }

        test("a stream without a length that is reset after its last event is not complete") {
            targets.script("e") { _, _ -> RawTarget.unframed(events(1..5), ConnectionEnd.RESET) }
            send("/once/1", "e") shouldBe ReceivedAnswer(200, events(1..5), isWhole = false)
        }

        test("a chunked stream that is closed without its last chunk is not complete") {
            targets.script("f") { _, _ -> RawTarget.brokenChunks(events(1..5)) }
            send("/once/1", "f") shouldBe ReceivedAnswer(200, events(1..5), isWhole = false)
        }

        data class CallCase(
            val name: String,
            val end: ConnectionEnd,
            val body: String,
        )
        listOf(
            CallCase("closed is the answer", ConnectionEnd.CLOSE, body = "first"),
            CallCase("reset is broken off", ConnectionEnd.RESET, body = "second"),
        ).forEach { case ->
            test("the body of a call without a length whose connection is ${case.name}") {
                val id = "g-${case.end}"
                targets.script(id) { number, _ ->
                    if (number == 1) RawTarget.unframed("first", case.end) else RawTarget.sized(200, "second")
                }
                send("/calls/1", id) shouldBe ReceivedAnswer(200, case.body, isWhole = true)
            }
        }

        test("a call whose answers without a length are all reset is not answered with a part of them") {
            targets.script("h") { _, _ -> RawTarget.unframed("part", ConnectionEnd.RESET) }
            send("/calls/1", "h") shouldBe ReceivedAnswer(502, "", isWhole = true)
        }

        test("a connection that ends an answer without a length is not used again") {
            val before = targets.connectionCount
            repeat(6) { number ->
                targets.script("i$number") { _, _ -> RawTarget.unframed("ok", ConnectionEnd.CLOSE) }
                send("/calls/1", "i$number") shouldBe ReceivedAnswer(200, "ok", isWhole = true)
                targets.requests("i$number").size shouldBe 1
            }
            // Each target may have one connection left from an earlier test.
            (targets.connectionCount - before >= 4) shouldBe true
        }
    }) {
    private companion object {
        const val REFUSED = 503
        const val REPEATS = 20
        val PAUSE = 100.milliseconds
    }
}
