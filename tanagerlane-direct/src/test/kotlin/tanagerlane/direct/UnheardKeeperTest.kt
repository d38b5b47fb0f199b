package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
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
import kotlin.time.Duration.Companion.seconds

/** Guards against resumed streams that are decided before a process replies which the entry has not heard yet. */
class UnheardKeeperTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Answers queries after [delay] ms with [versions], and all other messages at once if it [isHeard]. */
        suspend fun startPeer(
            name: HostName,
            port: Int,
            versions: List<String>,
            delay: Long,
            isHeard: Boolean,
        ) {
            val seen = versions.map(::SoftwareVersion)
            var transport: DatagramTransport? = null
            transport =
                DatagramTransport(vertx) { sender, message ->
                    if (message is OriginQuery) {
                        val reply =
                            OriginReply(
                                name,
                                message.query,
                                soleVersion = seen.singleOrNull(),
                                versions = seen,
                                period = 60.seconds,
                                age = Duration.ZERO,
                                at = Long.MAX_VALUE,
                            )
                        vertx.setTimer(delay) { transport?.send(reply, listOf(sender)) }
                    } else if (isHeard) {
                        transport?.send(OriginReply(name, query = 0), listOf(sender))
                    }
                }
            transport.listen(WireAddress("127.0.0.1", port))
        }

        data class UnheardCase(
            val name: String,
            val heard: List<String>,
            val unheard: List<String>,
            val status: Int,
        )
        listOf(
            UnheardCase("knows the only version", emptyList(), listOf("v1"), status = 200),
            UnheardCase("has seen two versions", listOf("v1"), listOf("v1", "v2"), status = 503),
        ).forEach { case ->
            test("an entry waits for a process that it has not heard: the process ${case.name}") {
                val target = FakeTarget(vertx, "t1", version = "v1").start()
                val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
                startPeer(HEARD, deployment.registerEarlierInstance(HEARD.text)[1], case.heard, 1, isHeard = true)
                startPeer(
                    UNHEARD,
                    deployment.registerEarlierInstance(UNHEARD.text)[1],
                    case.unheard,
                    15,
                    isHeard = false,
                )
                val port = deployment.start("entry-1", "entry").port
                // A process that has just started refuses requests while it is busy with loading classes.
                eventually(10.seconds) {
                    withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", "first") }?.status shouldBe 200
                }
                val headers = "Last-Event-Id: 3\r\nResumes: earlier\r\n"
                val answer = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", "again", headers) }!!
                answer.status shouldBe case.status
            }
        }
    }) {
    private companion object {
        val HEARD = HostName("entry-2")
        val UNHEARD = HostName("entry-3")
    }
}
