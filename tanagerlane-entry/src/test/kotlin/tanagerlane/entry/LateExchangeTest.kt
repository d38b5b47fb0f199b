package tanagerlane.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Guards against requests that nobody ends: they came while the process stopped, or their refusal was not recorded. */
class LateExchangeTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class Case(
            val name: String,
            val isStopped: Boolean,
            val record: () -> Unit = {},
            val fail: suspend () -> Unit,
        )

        listOf(
            Case("comes after the others were ended", isStopped = true) {},
            Case("fails and is not recorded", isStopped = false, { throw IOException("log") }) {
                throw IOException("store")
            },
            Case("is cancelled and is not recorded", isStopped = false, { throw IOException("log") }) {
                throw CancellationException("shared")
            },
        ).forEach { case ->
            test("a request ends that ${case.name}") {
                val exchanges = CallerExchanges(vertx, record = { _, _ -> case.record() }, draining = { false })
                val router = Router.router(vertx)
                router.route().handler { context -> exchanges.launch(context) { case.fail() } }
                val server =
                    vertx
                        .createHttpServer()
                        .requestHandler(router)
                        .listen(0, "127.0.0.1")
                        .coAwait()
                if (case.isStopped) exchanges.endAll()
                withContext(Dispatchers.IO) { call(server.actualPort()) } shouldNotBe "no end"
                exchanges.openRequests shouldBe 0
            }
        }
    }) {
    private companion object {
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
