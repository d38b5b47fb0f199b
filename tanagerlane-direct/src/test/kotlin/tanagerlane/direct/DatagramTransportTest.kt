package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.message.JobReport
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.standin.FreePorts
import tanagerlane.wire.WireAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class DatagramTransportTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val received = CopyOnWriteArrayList<WireMessage>()
        val receiver = DatagramTransport(vertx) { _, message -> received += message }
        val sender = DatagramTransport(vertx) { _, _ -> }
        val port = FreePorts.next()
        beforeSpec {
            receiver.listen(WireAddress("127.0.0.1", port))
            sender.listen(WireAddress("127.0.0.1", FreePorts.next()))
        }
        afterSpec { vertx.close().coAwait() }

        listOf(
            "127.0.0.1" to 0,
            "127.0.0.1" to 1,
            "a b" to 1,
            "\u0000" to 1,
            "\uD800" to 1,
            "999.1.1.1" to 1,
            "[" to 1,
            "a.".repeat(126) to 1,
        ).forEach { (host, oddPort) ->
            val shown = host.take(20).filter { it in ' '..'~' }
            test("a receiver at '$shown', port $oddPort, costs no other receiver its datagram") {
                val message = JobReport(HostName("batch-$shown-$oddPort"), emptyList())
                sender.send(message, listOf(WireAddress(host, oddPort), WireAddress("127.0.0.1", port))) shouldBe true
                eventually(5.seconds) { received shouldContain message }
            }
        }
    })
