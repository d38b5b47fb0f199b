package tanagerlane.standin.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import tanagerlane.model.RequestId
import tanagerlane.standin.http.TargetFaults

class EngineServerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val engine = EngineServer(vertx, EngineServerSettings(checksFencing = true))
        val client = WebClient.create(vertx)
        var port = 0
        beforeSpec { port = engine.start(0) }
        afterSpec {
            engine.stop()
            vertx.close().coAwait()
        }
        afterTest { engine.faults = TargetFaults() }

        suspend fun post(
            path: String,
            id: String,
            body: String,
        ): HttpResponse<Buffer> =
            client
                .post(port, "127.0.0.1", path)
                .putHeader("x-request-id", id)
                .sendBuffer(Buffer.buffer(body))
                .coAwait()

        fun chat(
            stream: Boolean,
            resume: Int = 0,
            tokens: Int = 6,
        ): String =
            """{"model":"finding-models","messages":[{"role":"user","content":"is point 4 clear"}],""" +
                """"stream":$stream,"max_tokens":$tokens,"resume_tokens":$resume}"""

        fun whole(response: HttpResponse<Buffer>): String =
            Json
                .parseToJsonElement(response.bodyAsString().orEmpty())
                .jsonObject
                .getValue("choices")
                .jsonArray[0]
                .jsonObject
                .getValue("message")
                .jsonObject
                .getValue("content")
                .jsonPrimitive.content

        fun streamed(response: HttpResponse<Buffer>): List<String> =
            response
                .bodyAsString()
                .orEmpty()
                .split("\n\n")
                .filter { it.startsWith("data: {") }
                .mapNotNull { CONTENT.find(it)?.groupValues?.get(1) }
                .filter { it.isNotEmpty() }

        test("streamed, whole and resumed answers hold the same tokens") {
            val text = whole(post("/v1/chat/completions", "whole", chat(stream = false)))
            val stream = post("/v1/chat/completions", "stream", chat(stream = true))
            val resumed = post("/v1/chat/completions", "stream", chat(stream = true, resume = 4))
            streamed(stream).joinToString("") shouldBe text
            streamed(resumed) shouldBe streamed(stream).drop(4)
            stream.bodyAsString().orEmpty().endsWith("data: [DONE]\n\n") shouldBe true
            engine.runs[RequestId("stream")] shouldBe RunCount(starts = 1, resumes = 1, finished = 2)
        }

        test("a cancelled request ends and is not counted as finished") {
            val answer = async { post("/v1/chat/completions", "long", chat(stream = false, tokens = 100_000)) }
            while (engine.runs[RequestId("long")] == null) {
                delay(1)
            }
            post("/v1/cancel/long", "canceller", "").statusCode() shouldBe 204
            answer.await().statusCode() shouldBe 499
            engine.runs[RequestId("long")] shouldBe RunCount(starts = 1)
        }

        listOf(
            FailureCase("malformed body", "/v1/chat/completions", "{", 400),
            FailureCase("unknown model", "/v1/chat/completions", """{"model":"other","messages":[]}""", 404),
            FailureCase("nothing to cancel", "/v1/cancel/none", "", 404),
            FailureCase("order 7", "/v1/orders", """{"fencing":7,"model":"a"}""", 200),
            FailureCase("order with an old number", "/v1/orders", """{"fencing":6,"model":"b"}""", 409),
        ).forEach { case ->
            test("${case.name} is answered with ${case.status}") {
                post(case.path, "case", case.body).statusCode() shouldBe case.status
            }
        }

        test("a fault set over HTTP is in force and the failed call is not run") {
            client
                .put(port, "127.0.0.1", "/faults")
                .sendBuffer(Buffer.buffer("""{"fail":true}"""))
                .coAwait()
                .statusCode() shouldBe 200
            post("/v1/chat/completions", "failed", chat(stream = false)).statusCode() shouldBe 500
            engine.runs[RequestId("failed")] shouldBe null
            engine.calls.last().contains("point 4") shouldBe true
        }
    }) {
    private data class FailureCase(
        val name: String,
        val path: String,
        val body: String,
        val status: Int,
    )

    private companion object {
        val CONTENT = Regex(""""content":"([^"]*)"""")
    }
}
