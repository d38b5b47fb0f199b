package tanagerlane.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration.Companion.milliseconds

/** Guards against requests that nobody ends: their handler was cancelled, or failed for want of another connection. */
class CancelledExchangeTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class Case(
            val name: String,
            val hasBegun: Boolean,
            val isStopped: Boolean = false,
            val expected: String,
            val fail: suspend () -> Unit,
        )

        suspend fun begin(context: RoutingContext) {
            context
                .response()
                .setChunked(true)
                .write(Buffer.buffer("part"))
                .coAwait()
        }

        listOf(
            Case("cancelled from within", hasBegun = false, expected = "500") { throw CancellationException("shared") },
            Case("cancelled from within", hasBegun = true, expected = "cut") { throw CancellationException("shared") },
            Case("another connection failed", hasBegun = false, expected = "500") { throw IOException("store") },
            Case("another connection failed", hasBegun = true, expected = "cut") { throw IOException("store") },
            Case("cancelled by the stop", hasBegun = false, isStopped = true, expected = "502") { awaitCancellation() },
            Case("cancelled by the stop", hasBegun = true, isStopped = true, expected = "cut") { awaitCancellation() },
        ).forEach { case ->
            test("a request ends whose handler was ${case.name}, answer begun ${case.hasBegun}") {
                val exchanges = CallerExchanges(vertx, record = { _, _ -> }, draining = { false })
                val router = Router.router(vertx)
                router.route().handler { context ->
                    exchanges.launch(context) {
                        if (case.hasBegun) begin(context)
                        case.fail()
                    }
                }
                val server =
                    vertx
                        .createHttpServer()
                        .requestHandler(router)
                        .listen(0, "127.0.0.1")
                        .coAwait()
                coroutineScope {
                    val outcome = async(Dispatchers.IO) { call(server.actualPort()) }
                    if (case.isStopped) {
                        delay(STOP_DELAY)
                        exchanges.endAll()
                    }
                    outcome.await() shouldBe case.expected
                }
                exchanges.openRequests shouldBe 0
                withContext(Dispatchers.IO) { server.close().coAwait() }
            }
        }
    }) {
    private companion object {
        val STOP_DELAY = 300.milliseconds
        const val TIME_LIMIT_SECONDS = 3L

        /** Returns the status of the answer, `cut` if it breaks off, or `no end`. */
        fun call(port: Int): String {
            val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/x")).build()
            val answer = HttpClient.newHttpClient().sendAsync(request, BodyHandlers.ofString())
            return try {
                answer.get(TIME_LIMIT_SECONDS, TimeUnit.SECONDS).statusCode().toString()
            } catch (_: TimeoutException) {
                "no end"
            } catch (_: ExecutionException) {
                "cut"
            }
        }
    }
}
