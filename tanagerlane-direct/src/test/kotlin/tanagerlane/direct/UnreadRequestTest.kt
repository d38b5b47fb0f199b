package tanagerlane.direct

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds

/** Requests that end while their target does not read them. */
class UnreadRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val clock = MonotonicClock()
        afterSpec { vertx.close().coAwait() }

        /** Reads to the end of the connection and returns the number of bytes. */
        fun readAll(input: InputStream): Int {
            val buffer = ByteArray(BODY_BYTES)
            var total = 0
            try {
                while (true) {
                    val count = input.read(buffer)
                    if (count < 0) return total
                    total += count
                }
            } catch (_: IOException) {
                return total
            }
        }

        test("a target that reads on after a request has timed out does not receive the rest of it") {
            val server = ServerSocket()
            server.receiveBufferSize = RECEIVE_BUFFER_BYTES
            server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            val address = "127.0.0.1:${server.localPort}"
            val target = DirectTarget(TargetName("i-1"), ServiceName("s"), address, FailureDomain("a"), places = 8)
            val body = Buffer.buffer("x".repeat(BODY_BYTES))
            val request = TargetRequest("r1", HttpMethod.POST, "/p", MultiMap.caseInsensitiveMultiMap(), body)
            server.use {
                val result =
                    withContext(vertx.dispatcher()) {
                        TargetClient(vertx, "Attempt-Id", clock::now).call(target, request, 300.milliseconds)
                    }
                result.getError().shouldBeInstanceOf<CallFault.TimedOut>()
                withContext(Dispatchers.IO) {
                    server.accept().use { readAll(it.getInputStream()) shouldBeLessThan BODY_BYTES }
                }
            }
        }
    }) {
    private companion object {
        const val RECEIVE_BUFFER_BYTES = 8 shl 10
        const val BODY_BYTES = 7_000_000
    }
}
