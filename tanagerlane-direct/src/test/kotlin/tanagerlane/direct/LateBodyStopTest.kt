package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LateBodyStopTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("a request whose body arrives after an entry stops accepting requests is refused and not forwarded") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val started = deployment.start("entry-1", "entry", stopTime = 8.seconds)
            withContext(Dispatchers.IO) {
                eventually(10.seconds) {
                    KeepAliveConnection(started.port).use { it.send("/streams/1", "first") } shouldBe 200
                }
            }
            val answer =
                coroutineScope {
                    val sent =
                        async(Dispatchers.IO) {
                            Socket("127.0.0.1", started.port).use { socket ->
                                socket.soTimeout = READ_TIMEOUT_MILLISECONDS
                                socket.getOutputStream().write(HEAD.toByteArray())
                                delay(BODY_DELAY)
                                socket.getOutputStream().write("body".toByteArray())
                                socket
                                    .getInputStream()
                                    .bufferedReader()
                                    .readLine()
                                    .orEmpty()
                            }
                        }
                    delay(STOP_DELAY)
                    started.daemon.drainAndStop()
                    sent.await()
                }
            target.requests shouldBe listOf("first after 0")
            answer shouldBe "HTTP/1.1 503 Service Unavailable"
        }
    }) {
    private companion object {
        const val HEAD =
            "POST /once/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: late\r\nCredential: good-key\r\nContent-Length: 4\r\n\r\n"
        const val READ_TIMEOUT_MILLISECONDS = 20_000

        /** Time before the stop begins, in which the head of the request is read. */
        val STOP_DELAY = 1.seconds

        /** Time from the head to the body: by then requests are no longer accepted, but the entry has not ended. */
        val BODY_DELAY = 4200.milliseconds
    }
}
