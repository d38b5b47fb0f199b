package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Guards against silent targets that are held back for longer the more requests leave them. */
class RepeatedSilenceLeftTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        listOf(1, 4).forEach { requests ->
            test("$requests requests that left a silent target go back to it from another one that falls silent") {
                fun silentBefore(
                    event: Int,
                    milliseconds: Long,
                ): (String, PausingTarget.Event) -> List<PausingTarget.Piece> =
                    { id, next ->
                        val isSilent = id.startsWith("silent") && next.number == event
                        listOf(PausingTarget.Piece(next.text, if (isSilent) milliseconds else 5))
                    }
                val first = PausingTarget(vertx, "t1", pace = silentBefore(4, 10_000)).start()
                val second = PausingTarget(vertx, "t2", pace = silentBefore(5, 10_000)).start()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.register("t1", first.port)
                deployment.changeRoutes { routes -> routes.map { it.copy(attempts = 4) } }
                val entry = deployment.start("entry-1", "entry")

                suspend fun send(id: String) =
                    withContext(Dispatchers.IO) { RawCaller.send(entry.port, "/streams/1", id) }
                eventually(10.seconds) { send("first")?.status shouldBe 200 }
                val (answers, time) =
                    coroutineScope {
                        val sent = List(requests) { async { send("silent-$it") } }
                        eventually(2.seconds) { first.requests.count { it.startsWith("silent") } shouldBe requests }
                        // All of them stay at the first target until there is another one.
                        delay(700.milliseconds)
                        deployment.register("t2", second.port)
                        measureTimedValue { sent.awaitAll() }
                    }
                answers.map { it?.isWhole } shouldBe List(requests) { true }
                second.requests.size shouldBe requests
                time shouldBeLessThan 1_500.milliseconds
            }
        }
    })
