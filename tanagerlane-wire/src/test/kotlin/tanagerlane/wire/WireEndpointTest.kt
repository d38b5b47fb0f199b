package tanagerlane.wire

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import tanagerlane.attempts.LivenessSettings
import tanagerlane.message.AnswerFragment
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.model.AttemptId
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WireEndpointTest :
    FunSpec({
        val fragment =
            AnswerFragment(
                attempt = AttemptId(RequestId("request-1"), 1),
                offset = 7,
                bytes = Payload.of(ByteArray(100_000) { it.toByte() }),
            )

        test("a message arrives as it was sent") {
            withEndpoints { client, server, _ ->
                client.send(fragment)
                server().incoming.receive() shouldBe fragment
            }
        }

        test("a connection on which nothing comes any more is given up") {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { silent ->
                val limits =
                    WireLimits(
                        liveness = LivenessSettings(pingInterval = 20.milliseconds, silenceTimeout = 200.milliseconds),
                    )
                withEndpoints(limits) { _, _, _ -> connectToSilent(silent, limits).fault shouldBe WireFault.Silent }
            }
        }

        listOf(
            BadGreeting("a frame over the limit", DataOutputStream::writeHugeLength),
            BadGreeting("a frame of a negative length") { it.writeInt(-1) },
            BadGreeting("bytes that are not CBOR") { it.writeFrame(byteArrayOf(-1, 3, 7)) },
            BadGreeting(
                "another version",
            ) { it.writeFrame(WireCodec.encode(hello("other").copy(protocolVersion = 2))) },
            BadGreeting("a message before the greeting") { it.writeFrame(WireCodec.encode(fragment)) },
        ).forEach { case ->
            test("${case.name} ends the connection and the endpoint goes on serving") {
                withEndpoints { client, server, address ->
                    Socket(address.host, address.port).use { socket ->
                        case.write(DataOutputStream(socket.getOutputStream()))
                        readGreetingUntilEnd(socket.getInputStream())
                    }
                    client.send(fragment)
                    server().incoming.receive() shouldBe fragment
                }
            }
        }

        test("another host than the expected one is refused") {
            withEndpoints { _, _, address ->
                val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
                val endpoint = WireEndpoint(hello("third"), scope) { Clock.System.now() }
                val outcome = endpoint.connect(address, HostName("someone"))
                outcome.getError() shouldBe WireFault.UnexpectedPeer(HostName("someone"))
                scope.cancel()
            }
        }
    })

private class BadGreeting(
    val name: String,
    val write: (DataOutputStream) -> Unit,
)

private fun DataOutputStream.writeHugeLength() {
    writeInt(Int.MAX_VALUE)
}

private fun DataOutputStream.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    write(bytes)
}

/** Reads the server's greeting and then waits for the end that the server must make. */
private fun readGreetingUntilEnd(input: InputStream) {
    val data = DataInputStream(input)
    data.skipNBytes(data.readInt().toLong())
    data.read() shouldBe -1
}

/** Connects to a server that greets and then neither answers nor closes, and waits for the end of the connection. */
private suspend fun connectToSilent(
    server: ServerSocket,
    limits: WireLimits,
): WireConnection =
    coroutineScope {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val accepted =
            async(Dispatchers.IO) {
                server.accept().also {
                    DataOutputStream(
                        it.getOutputStream(),
                    ).writeFrame(WireCodec.encode(hello("silent")))
                }
            }
        val endpoint = WireEndpoint(hello("client"), scope, limits) { Clock.System.now() }
        val connection = checkNotNull(endpoint.connect(WireAddress("127.0.0.1", server.localPort), null).get())
        connection.incoming.receiveCatching().isClosed shouldBe true
        accepted.await().close()
        scope.cancel()
        connection
    }

private fun hello(name: String): Hello =
    Hello(
        protocolVersion = WireEndpoint.PROTOCOL_VERSION,
        host = HostName(name),
        role = HostRole.ENTRY,
        incarnation = Incarnation(1),
        failureDomain = FailureDomain("a"),
    )

private fun withEndpoints(
    limits: WireLimits = WireLimits(),
    block: suspend (client: WireConnection, server: suspend () -> WireConnection, address: WireAddress) -> Unit,
) = runBlocking {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val accepted = Channel<WireConnection>(Channel.UNLIMITED)
    val server = WireEndpoint(hello("server"), scope, limits) { Clock.System.now() }
    val client = WireEndpoint(hello("client"), scope, limits) { Clock.System.now() }
    try {
        withTimeout(60.seconds) {
            val address = checkNotNull(server.listen(WireAddress("127.0.0.1", 0)) { accepted.send(it) }.get())
            val connection = checkNotNull(client.connect(address, HostName("server")).get())
            block(connection, { accepted.receive() }, address)
        }
    } finally {
        scope.cancel()
        server.close()
        client.close()
    }
}
