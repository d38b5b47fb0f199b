package tanagerlane.sidecar.engine

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import tanagerlane.model.Payload
import tanagerlane.model.RequestId

class EngineClientTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("an error answer is read completely even if it ends immediately") {
            val server =
                vertx
                    .createHttpServer()
                    .requestHandler { it.response().setStatusCode(500).end("broken") }
                    .listen(0)
                    .coAwait()
            val client = EngineClient(vertx, "http://127.0.0.1:${server.actualPort()}")
            withContext(Dispatchers.Default) {
                repeat(ROUNDS) { round ->
                    val calls =
                        List(CONCURRENT_CALLS) { number ->
                            async { client.stream(RequestId("$round-$number"), Payload.EMPTY) {}.getError() }
                        }
                    calls.awaitAll() shouldBe
                        List(CONCURRENT_CALLS) { EngineFailure.ErrorAnswer(500, Payload.of("broken")) }
                }
            }
            server.close().coAwait()
        }
    }) {
    private companion object {
        const val ROUNDS = 100
        const val CONCURRENT_CALLS = 16
    }
}
