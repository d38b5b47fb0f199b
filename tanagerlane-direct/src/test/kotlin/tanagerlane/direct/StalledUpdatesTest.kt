package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.ViewUpdate
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.runtime.MonotonicClock
import tanagerlane.standin.FreePorts
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireCodec
import tanagerlane.wire.WireEndpoint
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Updates that lay in the socket of a process whose event loop stood still. */
class StalledUpdatesTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val scope = CoroutineScope(Job() + vertx.dispatcher())
        val clock = MonotonicClock()
        val sentAt = ConcurrentHashMap<Long, Instant>()
        val received = CopyOnWriteArrayList<Received>()
        val port = FreePorts.next()
        val hello = Hello(1, HostName("entry-1"), HostRole.ENTRY, Incarnation(1), FailureDomain("a"))
        val socket = DatagramSocket()
        beforeSpec {
            withContext(scope.coroutineContext) {
                val endpoint = WireEndpoint(hello, scope, now = clock::now)
                val fleet =
                    Fleet(vertx, hello, scope, endpoint, clock::now, { _, message ->
                        received += Received(message as ViewUpdate, clock.now())
                    }, {})
                fleet.listen(WireAddress("127.0.0.1", port))
            }
        }
        afterSpec {
            socket.close()
            scope.cancel()
            vertx.close().coAwait()
        }

        suspend fun send(number: Long) {
            val bytes = WireCodec.encode(ViewUpdate(HostName("entry-2"), "targets", number, number, emptyList()))
            sentAt[number] = clock.now()
            withContext(Dispatchers.IO) {
                socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port))
            }
        }

        test("updates read after a pause are at least as old as they are") {
            delay(START_TIME)
            scope.launch { Thread.sleep(PAUSE.inWholeMilliseconds) }
            for (number in 1L..UPDATES) {
                send(number)
                delay(PAUSE / UPDATES.toInt() / 2)
            }
            eventually(5.seconds) { received.size shouldBeGreaterThan UPDATES.toInt() / 2 }
            delay(PAUSE)
            withClue("updates that lay in the socket") {
                received.filter { it.at - sentAt.getValue(it.update.at) > PAUSE / 4 }.shouldNotBeEmpty()
            }
            withClue("updates taken for newer than they are") {
                received
                    .filter { it.at - it.update.age > sentAt.getValue(it.update.at) + TOLERANCE }
                    .shouldBeEmpty()
            }
        }

        test("updates read without a pause count as new") {
            received.clear()
            eventually(5.seconds) {
                send(UPDATES + 1)
                delay(PAUSE / 10)
                received.filter { it.update.age == Duration.ZERO }.shouldNotBeEmpty()
            }
        }
    }) {
    private data class Received(
        val update: ViewUpdate,
        val at: Instant,
    )

    private companion object {
        const val UPDATES = 50L
        val START_TIME = 300.milliseconds
        val PAUSE = 1.seconds

        /** Delays that the process does not measure. */
        val TOLERANCE = 150.milliseconds
    }
}
