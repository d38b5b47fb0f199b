package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Requests that wait in an entry for a place at the only target, which has four. */
class WaitingRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun startEntry(isWaiting: Boolean): Pair<Int, FakeTarget> {
            val target = FakeTarget(vertx, "t1", events = 5, pauseMilliseconds = 250).start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            // A long objective, so that the outcome does not depend on how fast this machine is.
            deployment.changeRoutes { routes -> routes.map { it.copy(objective = 4.seconds) } }
            val port = deployment.start("entry-1", "entry", waiting = isWaiting).port
            eventually(10.seconds) { send(port, "first")?.status shouldBe 200 }
            return port to target
        }

        test("a request that finds no place is refused at once if requests do not wait") {
            val (port, target) = startEntry(isWaiting = false)
            coroutineScope {
                val running = List(5) { async { send(port, "running-$it") } }
                eventually(5.seconds) { target.running shouldBe 5 }
                send(port, "next")?.status shouldBe 503
                running.awaitAll().map { it?.status } shouldBe List(5) { 200 }
            }
        }

        test("a waiting request is sent when a place becomes free, and not before") {
            val (port, target) = startEntry(isWaiting = true)
            coroutineScope {
                val running = List(4) { async { send(port, "running-$it") } }
                eventually(5.seconds) { target.running shouldBe 4 }
                val next = async { send(port, "next") }
                next.await()?.status shouldBe 200
                running.awaitAll().map { it?.status } shouldBe List(4) { 200 }
                target.requests.indexOf("next after 0") shouldBe target.requests.lastIndex
            }
        }

        test("a waiting request whose caller disconnects is not sent, and the next one is") {
            val (port, target) = startEntry(isWaiting = true)
            coroutineScope {
                val running = List(4) { async { send(port, "running-$it") } }
                eventually(5.seconds) { target.running shouldBe 4 }
                withContext(Dispatchers.IO) {
                    Socket("127.0.0.1", port).use { socket ->
                        val head =
                            "POST /streams/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: leaving\r\n" +
                                "Credential: good-key\r\nContent-Length: 0\r\n\r\n"
                        socket.getOutputStream().write(head.toByteArray())
                        socket.getOutputStream().flush()
                        Thread.sleep(100)
                    }
                }
                send(port, "next")?.status shouldBe 200
                running.awaitAll() shouldNotBe emptyList<Any>()
                target.requests shouldContain "next after 0"
                target.requests shouldNotContain "leaving after 0"
            }
        }
    })

private suspend fun send(
    port: Int,
    id: String,
) = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, body = "") }
