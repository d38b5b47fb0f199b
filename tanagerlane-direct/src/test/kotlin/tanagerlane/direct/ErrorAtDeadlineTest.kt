package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

/** Calls that may be repeated, and whose target fails when too little time is left for another attempt. */
class ErrorAtDeadlineTest :
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

        test("an error shortly before the deadline is answered") {
            val deadline = 300
            // The errors arrive at different times, because only some of these leave too little time.
            val statuses =
                (1..6).flatMap { round ->
                    coroutineScope {
                        (1..4)
                            .map { number ->
                                val id = "a$round-$number"
                                targets.script(id) { _, _ ->
                                    Thread.sleep(deadline - 10L - 4 * number)
                                    RawTarget.sized(500, "error text")
                                }
                                async { send("/calls/1", id, "Deadline-Ms: $deadline\r\n")?.status }
                            }.awaitAll()
                    }
                }
            statuses shouldNotContain null
            statuses.toSet() - setOf(500, 502, 504) shouldBe emptySet()
        }
    })
