package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.model.HostName
import tanagerlane.model.SoftwareVersion
import tanagerlane.wire.WireAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against resumed streams that an entry refuses because the replies of other processes take some time. */
class LateReplyTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Answers queries after [delay], or never if it is null, as a process that knows of one version only. */
        suspend fun startPeer(
            port: Int,
            delay: Duration?,
        ) {
            var transport: DatagramTransport? = null
            transport =
                DatagramTransport(vertx) { sender, message ->
                    if (message is OriginQuery && delay != null) {
                        val version = SoftwareVersion("v1")
                        val reply =
                            OriginReply(
                                PEER,
                                message.query,
                                soleVersion = version,
                                versions = listOf(version),
                                period = 60.seconds,
                                age = Duration.ZERO,
                                at = Long.MAX_VALUE,
                            )
                        vertx.setTimer(delay.inWholeMilliseconds) { transport?.send(reply, listOf(sender)) }
                    }
                }
            transport.listen(WireAddress("127.0.0.1", port))
        }

        data class LateCase(
            val name: String,
            val delay: Duration?,
            val status: Int,
        )
        listOf(
            LateCase("at once", 1.milliseconds, status = 200),
            LateCase("after 200 ms", 200.milliseconds, status = 200),
            LateCase("never", delay = null, status = 503),
        ).forEach { case ->
            test("a stream is resumed while the only other process replies: ${case.name}") {
                val target = FakeTarget(vertx, "t1", version = "v1").start()
                val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
                startPeer(deployment.registerEarlierInstance(PEER.text)[1], case.delay)
                val port = deployment.start("entry-1", "entry").port
                // A process that has just started refuses requests while it is busy with loading classes.
                eventually(10.seconds) {
                    withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", "first") }?.status shouldBe 200
                }
                val sentAt = TimeSource.Monotonic.markNow()
                val headers = "Last-Event-Id: 3\r\nResumes: earlier\r\n"
                val answer = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", "again", headers) }!!
                sentAt.elapsedNow() shouldBeLessThan 1.seconds
                answer.status shouldBe case.status
                target.requests.filter { it.startsWith("again ") } shouldBe
                    if (case.status == 200) listOf("again after 3") else emptyList()
            }
        }
    }) {
    private companion object {
        val PEER = HostName("entry-2")
    }
}
