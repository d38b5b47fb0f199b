package tanagerlane.cli.demo

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import tanagerlane.inventory.Inventory
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** One request of each kind, sent as a caller would. */
internal class DemoRequests(
    private val baseUrl: String,
    private val key: String,
    private val inventory: Inventory,
) {
    private val client = HttpClient.newHttpClient()

    /** Sends the requests, shows each answer by [show] and returns what they took. */
    suspend fun send(show: (String) -> Unit): List<DemoRow> = listOf(online(show), service(show), job(show))

    private fun online(show: (String) -> Unit): DemoRow {
        val body =
            """{"model":"${inventory.models.first().name}","max_tokens":$TOKENS,""" +
                """"messages":[{"role":"user","content":"Will the points clear by dawn?"}]}"""
        val (answer, taken) = measureTimedValue { call("POST", "/v1/chat/completions", body) }
        show("online: ${answer.body()}")
        return DemoRow("online request", taken.inWholeMilliseconds, "status ${answer.statusCode()}, $TOKENS tokens")
    }

    private fun service(show: (String) -> Unit): DemoRow {
        val service = inventory.services.first()
        val route = service.routes.first { "GET" in it.methods }
        val (answer, taken) = measureTimedValue { call("GET", "/services/${service.name}${route.prefix}", "") }
        show("service: ${answer.body()}")
        return DemoRow("service call", taken.inWholeMilliseconds, "status ${answer.statusCode()}")
    }

    private suspend fun job(show: (String) -> Unit): DemoRow {
        val path = "/v1/jobs/demo"
        val (status, taken) =
            measureTimedValue {
                call("PUT", path, itemLines())
                withTimeout(JOB_BOUND) { finished(path) }
            }
        show("job: $status")
        show("results: " + call("GET", "$path/results", "").body().lines().first())
        return DemoRow("batch job", taken.inWholeMilliseconds, "$ITEMS items done")
    }

    private suspend fun finished(path: String): String {
        while (true) {
            val body = call("GET", path, "").body()
            if (phaseOf(body) == "finished") {
                return body
            }
            delay(POLL_INTERVAL)
        }
    }

    private fun phaseOf(body: String): String? =
        Json
            .parseToJsonElement(body)
            .jsonObject["phase"]
            ?.jsonPrimitive
            ?.content

    private fun itemLines(): String {
        val model = inventory.models.first().name
        return (1..ITEMS).joinToString("\n") { number ->
            """{"custom_id":"item-$number","method":"POST","url":"/v1/chat/completions",""" +
                """"body":{"model":"$model","max_tokens":$TOKENS,""" +
                """"messages":[{"role":"user","content":"Heater log $number"}]}}"""
        }
    }

    private fun call(
        method: String,
        path: String,
        body: String,
    ): HttpResponse<String> =
        client.send(
            HttpRequest
                .newBuilder(URI(baseUrl + path))
                .header("authorization", "Bearer $key")
                .header("content-type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private companion object {
        const val TOKENS = 8
        const val ITEMS = 40
        val POLL_INTERVAL = 200.milliseconds
        val JOB_BOUND = 120.seconds
    }
}
