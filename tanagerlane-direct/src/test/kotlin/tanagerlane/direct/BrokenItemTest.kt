package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.direct.ScriptedTargets.Companion.events
import kotlin.time.Duration.Companion.seconds

/** Items whose first run breaks off or has no events, each followed by a wrong answer and by correct ones. */
class BrokenItemTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val targets = ScriptedTargets()
        var port = 0

        suspend fun send(
            path: String,
            id: String,
            body: String = "",
        ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body) }

        /** Submits a job of the one item [id] and waits for its result. */
        suspend fun shouldComplete(
            id: String,
            events: Int,
        ) {
            send("/jobs/x", "job-$id", id)?.status shouldBe 202
            eventually(12.seconds) { send("/results/job-$id", "r")?.body shouldBe "$id COMPLETED $events\n1 of 1" }
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

        // An item that is answered 422 is never completed.
        (ScriptedTargets.WRONG_ANSWERS - "422").forEach { (name, case) ->
            test("an item broken off and followed by $name is completed without a gap or a repeated event") {
                val id = "a-$name".replace(' ', '-')
                targets.script(id) { number, request ->
                    when (number) {
                        1 -> RawTarget.brokenChunks(events(1..2) + "id: 3\nda")
                        2 -> case.first
                        else -> ScriptedTargets.rest(request)
                    }
                }
                shouldComplete(id, events = 5)
            }
        }

        mapOf(
            "an empty body" to RawTarget.sized(200, ""),
            "an empty stream" to RawTarget.chunked(""),
            "text" to RawTarget.sized(200, "error text\n\n"),
        ).forEach { (name, answer) ->
            test("an item answered 200 with $name is run again") {
                val id = "b-$name".replace(' ', '-')
                targets.script(id) { number, request -> if (number == 1) answer else ScriptedTargets.rest(request) }
                shouldComplete(id, events = 5)
            }
        }

        test("an item broken off after its last event is completed by a run that receives this event again") {
            targets.script("c") { number, request ->
                if (number == 1) RawTarget.brokenChunks(events(1..5)) else ScriptedTargets.rest(request)
            }
            shouldComplete("c", events = 5)
            targets.requests("c").map { it.resumeAfter } shouldBe listOf(null, 5, 4)
        }

        test("an item broken off after events without numbers starts anew") {
            val body = "data: a\n\ndata: b\n\n"
            targets.script("d") { number, _ ->
                if (number == 1) RawTarget.brokenChunks(body) else RawTarget.chunked(body)
            }
            shouldComplete("d", events = 2)
        }
    })
