package tanagerlane.cli.demo

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import tanagerlane.configuration.ConfigurationCodec
import tanagerlane.configuration.SettingsReader
import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.model.KeyDigest
import tanagerlane.model.Revision
import tanagerlane.store.ObjectKey
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LocalDeploymentTest :
    FunSpec({
        val inventory = checkNotNull(readInventory("../examples/sporskifte/inventory.toml"))
        val deployment = LocalDeployment(inventory, entryCount = 2, Vertx.vertx())
        val client = HttpClient.newHttpClient()

        beforeSpec {
            withTimeout(60.seconds) {
                deployment.start(callerPort = 0)
                val key = CallerKey(digestOf("tl-test"), inventory.workspaces.first().name, "test")
                val configuration = Configuration(Revision(1), inventory, listOf(key))
                deployment.memoryStore.put(
                    ObjectKey("configuration/current"),
                    ConfigurationCodec.encode(configuration),
                    null,
                )
                deployment.awaitReady()
            }
        }
        afterSpec { deployment.stop() }

        fun send(
            method: String,
            path: String,
            body: String = "",
            key: String = "tl-test",
        ): HttpResponse<String> =
            client.send(
                HttpRequest
                    .newBuilder(URI(deployment.baseUrl(0) + path))
                    .header("authorization", "Bearer $key")
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build(),
                HttpResponse.BodyHandlers.ofString(),
            )

        fun post(
            path: String,
            body: String,
            key: String = "tl-test",
        ): HttpResponse<String> = send("POST", path, body, key)

        test("a chat completion comes back whole") {
            val answer =
                post(
                    "/v1/chat/completions",
                    """{"model":"finding-models","messages":[{"role":"user","content":"points 12"}],"max_tokens":4}""",
                )
            answer.statusCode() shouldBe 200
            answer.body() shouldContain "\"chat.completion\""
        }

        test("a streamed chat completion ends with its last event") {
            val answer =
                post(
                    "/v1/chat/completions",
                    """{"model":"finding-models","messages":[{"role":"user","content":"a"}],"max_tokens":4,"stream":true}""",
                )
            answer.body().trim().endsWith("data: [DONE]") shouldBe true
        }

        test("a job ends with one result for each item") {
            val items =
                (1..40).joinToString("\n") {
                    """{"custom_id":"item-$it","method":"POST","url":"/v1/chat/completions",""" +
                        """"body":{"model":"finding-models","messages":[{"role":"user","content":"$it"}],"max_tokens":4}}"""
                }
            send("PUT", "/v1/jobs/night?due=2030-01-01T00:00:00Z", items).statusCode() shouldBe 202
            withTimeout(60.seconds) {
                while ("finished" !in send("GET", "/v1/jobs/night").body()) {
                    delay(100.milliseconds)
                }
            }
            val lines = ArrayList<String>()
            var cursor: String? = "0-0"
            while (cursor != null) {
                val page = send("GET", "/v1/jobs/night/results?cursor=$cursor")
                lines += page.body().trim().lines()
                cursor = page.headers().firstValue("x-next-cursor").orElse(null)
            }
            lines.map { it.substringAfter("item-").substringBefore('"').toInt() }.sorted() shouldBe (1..40).toList()
        }

        test("a service is called") {
            send("GET", "/services/log-store/logs/7").body() shouldContain "/logs/7"
        }

        test("a request without a valid key is refused") {
            post("/v1/chat/completions", "{}", key = "tl-other").statusCode() shouldBe 401
        }
    })

private fun readInventory(path: String) =
    runBlocking { SettingsReader.inventory().read(path, Files.readString(Path.of(path))).get() }

private fun digestOf(key: String): KeyDigest =
    KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())))
