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
import tanagerlane.direct.RawTarget.RawAnswer
import tanagerlane.direct.ScriptedTargets.Companion.events
import kotlin.time.Duration.Companion.seconds

/** Answers whose connection ends in the middle of their head. */
class CutHeadTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets()
        var port = 0

        suspend fun send(
            path: String,
            id: String,
            body: String = "",
        ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body) }

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

        listOf(
            "after a line" to "",
            "inside a name" to "Content-Le",
            "inside a value" to "Content-Type: text/ev",
            "inside the length" to "Content-Length: 1",
            "after the length" to "Content-Length: 0\r\n",
            "after the encoding" to "Transfer-Encoding: chunked\r\n",
            "inside the empty line" to "Content-Length: 0\r\n\r",
        ).forEachIndexed { index, (place, rest) ->
            listOf(ConnectionEnd.CLOSE, ConnectionEnd.RESET).forEach { end ->
                val answer = RawAnswer(200, rest, end)

                test("the answer to a request that may be repeated comes whole from another target: $place, $end") {
                    val id = "a-$index-$end"
                    targets.script(id) { number, request ->
                        if (number == 1) answer else ScriptedTargets.rest(request)
                    }
                    send("/streams/1", id) shouldBe ReceivedAnswer(200, events(1..5), isWhole = true)
                    targets.requests(id).size shouldBe 2
                }

                listOf("/once/1" to 1, "/calls/1" to 2).forEach { (path, attempts) ->
                    test("a request to $path is not answered with success or as not run: $place, $end") {
                        val id = "b-$index-$end-${path.length}"
                        targets.script(id) { _, _ -> answer }
                        send(path, id)?.status shouldBe 502
                        targets.requests(id).size shouldBe attempts
                    }
                }

                test("an item is completed from another target: $place, $end") {
                    val id = "c-$index-$end"
                    targets.script(id) { number, request ->
                        if (number == 1) answer else ScriptedTargets.rest(request)
                    }
                    send("/jobs/x", "job-$id", id)?.status shouldBe 202
                    eventually(8.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED 5\n1 of 1" }
                }
            }
        }
    })
