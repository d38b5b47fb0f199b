package tanagerlane.scenario

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.stream.Stream
import kotlin.time.Duration

/** HTTP client of one caller, on connections of its own. */
class Caller(
    private val baseUrl: String,
    private val key: String? = null,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(path: String): Answer = send("GET", path)

    fun put(
        path: String,
        body: String,
    ): Answer = send("PUT", path, body)

    fun post(
        path: String,
        body: String,
        timeout: Duration? = null,
    ): Answer = send("POST", path, body, timeout)

    /** Sends a chat completion that is answered in one piece. */
    fun chat(
        prompt: String,
        tokens: Int = 4,
        timeout: Duration? = null,
    ): Answer = post(CHAT_PATH, chatBody(prompt, tokens, stream = false), timeout)

    /** Sends a chat completion and returns the data of its events as they come. */
    fun stream(
        prompt: String,
        tokens: Int,
    ): Stream<String> {
        val request = request("POST", CHAT_PATH, chatBody(prompt, tokens, stream = true), timeout = null)
        val response = client.send(request, HttpResponse.BodyHandlers.ofLines())
        check(response.statusCode() == 200) { "status ${response.statusCode()}: ${response.body().toList()}" }
        return response.body().filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
    }

    fun submitJob(
        job: String,
        items: Int,
        tokens: Int = 4,
    ): Answer {
        val lines =
            (1..items).joinToString("\n") {
                """{"custom_id":"item-$it","method":"POST","url":"$CHAT_PATH","body":${chatBody(
                    "$job $it",
                    tokens,
                    false,
                )}}"""
            }
        return put("/v1/jobs/$job?due=2030-01-01T00:00:00Z", lines)
    }

    /** Reads the lines of all pages of a job's results. */
    fun results(job: String): List<JsonElement> {
        val lines = ArrayList<String>()
        var cursor: String? = "0-0"
        while (cursor != null) {
            val page = get("/v1/jobs/$job/results?cursor=$cursor")
            check(page.status == 200) { "no results: $page" }
            lines += page.body.lines().filter { it.isNotBlank() }
            cursor = page.nextCursor
        }
        return lines.map { Json.parseToJsonElement(it) }
    }

    private fun send(
        method: String,
        path: String,
        body: String = "",
        timeout: Duration? = null,
    ): Answer {
        val response = client.send(request(method, path, body, timeout), HttpResponse.BodyHandlers.ofString())
        val cursor = response.headers().firstValue("x-next-cursor").orElse(null)
        return Answer(response.statusCode(), response.body(), cursor)
    }

    private fun request(
        method: String,
        path: String,
        body: String,
        timeout: Duration?,
    ): HttpRequest {
        val builder = HttpRequest.newBuilder(URI(baseUrl + path)).header("content-type", "application/json")
        key?.let { builder.header("authorization", "Bearer $it") }
        timeout?.let { builder.header("x-timeout-milliseconds", it.inWholeMilliseconds.toString()) }
        return builder.method(method, HttpRequest.BodyPublishers.ofString(body)).build()
    }

    /** What came back. */
    data class Answer(
        val status: Int,
        val body: String,
        val nextCursor: String? = null,
    ) {
        val json: JsonElement get() = Json.parseToJsonElement(body)
    }

    companion object {
        private const val CHAT_PATH = "/v1/chat/completions"
        private const val DATA = "data: "

        fun chatBody(
            prompt: String,
            tokens: Int,
            stream: Boolean,
        ): String =
            """{"model":"finding-models","messages":[{"role":"user","content":"$prompt"}],""" +
                """"max_tokens":$tokens,"stream":$stream}"""
    }
}
