package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/** Four targets, entries and callers that send the same request again. */
internal class RequestSite(
    private val vertx: Vertx,
) {
    private val client = HttpClient.newHttpClient()
    private val requests = AtomicInteger()
    private val ports = ArrayList<Int>()
    val targets = List(4) { FakeTarget(vertx, "t$it", restartMilliseconds = 400) }
    private val deployment = FakeDeployment(vertx, targets, furtherKeys = mapOf("other-key" to "others"))

    /** Starts the targets and the given number of [entries]. */
    suspend fun start(entries: Int) {
        targets.forEach { it.start() }
        deployment.prepare()
        repeat(entries) { ports += deployment.start("entry-$it", "entry").port }
        ports.indices.forEach { awaitReady(it) }
    }

    /** Starts a further entry; returns its index once it is ready. */
    suspend fun startEntry(): Int {
        ports += deployment.start("entry-${ports.size}", "entry").port
        awaitReady(ports.lastIndex)
        return ports.lastIndex
    }

    /** Starts a process that runs the items of jobs. */
    suspend fun startBatch() {
        deployment.start("batch-1", "batch")
    }

    private suspend fun awaitReady(entry: Int): Unit =
        eventually(10.seconds) { send(entry, "/ready", "").status shouldBe 200 }

    /** Sends a request to the [entry] with this index, counted modulo the number of entries. */
    suspend fun send(
        entry: Int,
        path: String,
        body: String,
        key: String = "good-key",
        id: String = "r${requests.incrementAndGet()}",
    ): Answer {
        val request =
            HttpRequest
                .newBuilder(URI("http://localhost:${ports[entry % ports.size]}$path"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .header("Attempt-Id", id)
                .header("Credential", key)
                .timeout(CALL_TIMEOUT.toJavaDuration())
                .build()
        return withContext(Dispatchers.IO) {
            try {
                val answer = client.send(request, HttpResponse.BodyHandlers.ofString())
                val retryAfter = answer.headers().firstValue("Retry-After")
                Answer(answer.statusCode(), retryAfter.map { it.toDouble().seconds }.orElse(null), answer.body())
            } catch (exception: IOException) {
                Answer(status = null, retryAfter = null, body = exception.toString())
            }
        }
    }

    /** Sends a request to an [entry] and, if that fails, at once to the next one; returns the last answer. */
    suspend fun comesOnce(
        entry: Int,
        path: String,
        body: String,
    ): Answer = send(entry, path, body).takeIf { it.status == 200 } ?: send(entry + 1, path, body)

    /** Lets a request come for [time], and often enough, to one entry after the other; returns the last answer of each coming. */
    suspend fun sendAgainAndAgain(
        path: String,
        body: String,
        time: Duration,
    ): List<Answer> {
        val end = TimeSource.Monotonic.markNow() + time
        val answers = ArrayList<Answer>()
        while (end.hasNotPassedNow() || answers.size < MINIMUM_COMINGS) {
            answers += comesOnce(answers.size, path, body)
            delay(COMING_PAUSE)
        }
        return answers
    }

    /** Returns the times at which requests with [body] reached targets, in their order. */
    fun runsOf(body: String): List<TimeSource.Monotonic.ValueTimeMark> =
        targets
            .flatMap { it.runs }
            .filter { it.body == body }
            .map { it.at }
            .sorted()

    /** Returns the times of the crashes of targets that ran requests with [body], in their order. */
    fun crashesBy(body: String): List<TimeSource.Monotonic.ValueTimeMark> =
        targets
            .flatMap { it.crashed }
            .filter { crash -> crash.runs.any { it.body == body } }
            .map { it.at }
            .sorted()

    /** An answer, received at the time [at]; [status] is null if the connection ended before its end. */
    data class Answer(
        val status: Int?,
        val retryAfter: Duration?,
        val body: String,
        val at: TimeSource.Monotonic.ValueTimeMark = TimeSource.Monotonic.markNow(),
    ) {
        override fun toString(): String = "$status/$retryAfter"
    }

    private companion object {
        val CALL_TIMEOUT = 20.seconds
        val COMING_PAUSE = 300.milliseconds

        /** Comings on a busy machine, on which few fit into the time. */
        const val MINIMUM_COMINGS = 10
    }
}
