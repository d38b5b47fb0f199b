package tanagerlane.cli.caller

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.cli.rootCommand
import tanagerlane.standin.store.MemoryObjectStore
import java.nio.file.Files
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText

class JobCommandTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val received = CopyOnWriteArrayList<String>()
        var port = 0

        beforeSpec {
            val server = vertx.createHttpServer().requestHandler { answer(it, received) }
            port = server.listen(0, "127.0.0.1").coAwait().actualPort()
        }
        beforeTest { received.clear() }
        afterSpec { vertx.close().coAwait() }

        fun run(
            line: String,
            vararg replaced: Pair<String, String>,
        ): CliktCommandTestResult {
            val variables = mapOf("TANAGERLANE_BASE_URL" to "http://127.0.0.1:$port/", "TANAGERLANE_KEY" to "tl-test")
            return rootCommand { MemoryObjectStore() }.test("job $line", envvars = variables + replaced)
        }

        test("a job is submitted, shown and cancelled with the caller's key") {
            val items = Files.createTempFile("items", ".jsonl").also { it.writeText("{\"custom_id\":\"1\"}\n") }
            run("submit night $items --due 2026-01-31T06:00:00Z").output shouldBe ACCEPTED
            run("status night").output shouldBe SHOWN
            run("cancel night").output shouldBe SHOWN
            received shouldBe
                listOf(
                    "PUT /v1/jobs/night?due=2026-01-31T06%3A00%3A00Z Bearer tl-test {\"custom_id\":\"1\"}\n",
                    "GET /v1/jobs/night Bearer tl-test ",
                    "POST /v1/jobs/night/cancel Bearer tl-test ",
                )
        }

        test("all pages of results are printed in order, and that the job is still open") {
            val result = run("results night")
            result.stdout shouldBe "{\"page\":1}\n{\"page\":2}\n"
            result.stderr shouldBe "tanagerlane: the job is open; these are its results so far\n"
            result.statusCode shouldBe 0
        }

        val failures =
            listOf(
                "status absent" to "tanagerlane: refused as not_found, not run: There is no such job.",
                "status a%2Fb%20c" to "tanagerlane: not the answer of an entry, with status 500",
                "results endless" to "tanagerlane: not the answer of an entry, with status 200",
                "status cut" to "tanagerlane: the answer was lost (Connection was closed); the call may be repeated",
                "submit night nowhere.jsonl" to
                    "Error: invalid value for <file>: file \"nowhere.jsonl\" does not exist.",
                "status night --base-url entry:80" to
                    "Error: invalid value for --base-url: entry:80 is not an HTTP URL",
                "status night --key \"a b\"" to
                    "Error: invalid value for --key: the key is empty or has invalid characters",
                "status" to "Error: missing argument <job>",
            )
        for ((line, expected) in failures) {
            test("\"job $line\" ends with one clear line") {
                val result = run(line)
                result.statusCode shouldBe 1
                result.stderr
                    .trim()
                    .lines()
                    .last() shouldBe expected
            }
        }

        test("an entry that can't be reached is told from an answer that was lost") {
            val result = run("status night", "TANAGERLANE_BASE_URL" to "http://127.0.0.1:1")
            "${result.statusCode} ${result.stderr}".substringBefore(" (") shouldBe
                "1 tanagerlane: the entry can't be reached"
        }
    })

private const val DOCUMENT =
    """{"job":"night","phase":"open","due":"2026-01-31T06:00:00Z","submittedAt":"2026-01-30T06:00:00Z",""" +
        """"items":3,"done":2,"failed":1}"""

private const val ACCEPTED =
    "job: night\nphase: open\ndue: 2026-01-31T06:00:00Z, submitted: 2026-01-30T06:00:00Z\n" +
        "items: 3\n"

private const val SHOWN = ACCEPTED + "items with a result: 2, of which failed: 1\n"

private const val NOT_FOUND =
    """{"error":{"type":"not_found","run":"not_run","message":"There is no such job."}}"""

private fun answer(
    request: HttpServerRequest,
    received: MutableList<String>,
) {
    request.body().onSuccess { body ->
        received += "${request.method()} ${request.uri()} ${request.getHeader("authorization")} $body"
        val response = request.response()
        when (request.uri()) {
            "/v1/jobs/absent" -> response.setStatusCode(404).end(NOT_FOUND)
            "/v1/jobs/cut" -> request.connection().close()
            "/v1/jobs/a%252Fb%2520c" -> response.setStatusCode(500).end("fault")
            "/v1/jobs/night/results" -> response.putHeader("x-next-cursor", "0-1").end("{\"page\":1}\n")
            "/v1/jobs/night/results?cursor=0-1" -> response.end("{\"page\":2}\n")
            "/v1/jobs/endless/results" -> response.putHeader("x-next-cursor", "0-1").end()
            "/v1/jobs/endless/results?cursor=0-1" -> response.putHeader("x-next-cursor", "0-1").end()
            else -> response.end(DOCUMENT)
        }
    }
}
