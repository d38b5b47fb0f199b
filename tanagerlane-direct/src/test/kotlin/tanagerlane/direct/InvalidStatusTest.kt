package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.direct.RawCaller.ReceivedAnswer
import tanagerlane.direct.RawTarget.ConnectionEnd
import tanagerlane.direct.RawTarget.RawAnswer
import tanagerlane.direct.ScriptedTargets.Companion.events
import kotlin.time.Duration.Companion.seconds

/** Answers whose status is none of a final answer. */
class InvalidStatusTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets()
        var port = 0

        suspend fun send(
            path: String,
            id: String,
            body: String = "",
        ) = targets.call(port, path, id, body)

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

        fun answer(status: String) = RawAnswer(status, "Content-Length: 4\r\n\r\ntext", ConnectionEnd.RESET)

        listOf("000", "42", "99", "100", "101", "150", "199", "600", "999", "1000").forEach { status ->
            listOf("/calls/1" to 2, "/streams/1" to 2, "/once/1" to 1, "/unsafe/1" to 1).forEach { (path, attempts) ->
                test("a target's status $status is not passed on to callers of $path") {
                    val id = "a-$status-${path.length}"
                    targets.script(id) { _, _ -> answer(status) }
                    send(path, id) shouldBe ReceivedAnswer(502, "", isWhole = true)
                    targets.requests(id).size shouldBe attempts
                }
            }

            test("an item answered with status $status is completed by another run") {
                val id = "b-$status"
                targets.script(id) { number, request ->
                    if (number == 1) answer(status) else ScriptedTargets.rest(request)
                }
                send("/jobs/x", "job-$id", id)?.status shouldBe 202
                eventually(8.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED 5\n1 of 1" }
            }

            test("an item answered with status $status by each target is not given up as failed") {
                val id = "c-$status"
                targets.script(id) { number, request ->
                    if (number <= 3) answer(status) else ScriptedTargets.rest(request)
                }
                send("/jobs/x", "job-$id", id)?.status shouldBe 202
                eventually(12.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED 5\n1 of 1" }
            }
        }

        listOf(200, 299, 404, 599).forEach { status ->
            test("a target's status $status is passed on") {
                targets.script("d-$status") { _, _ -> RawTarget.sized(status, "text") }
                send("/calls/1", "d-$status") shouldBe ReceivedAnswer(status, "text", isWhole = true)
            }
        }
    })
