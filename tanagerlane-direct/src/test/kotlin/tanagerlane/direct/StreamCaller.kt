package tanagerlane.direct

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runInterruptible
import kotlinx.coroutines.withTimeoutOrNull
import java.io.BufferedReader
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A caller that takes its stream up again when the connection breaks, until the stream is whole or its time is over.
 *
 * @property name also the body of its requests and the beginning of their ids
 * @param ports ports of the entries, in the order in which they are called
 * @param repeatsEntry whether the first entry is also the first at which the stream is taken up
 * @param takeUpTime time from the first broken or refused answer for which entries are called again
 */
internal class StreamCaller(
    val name: String,
    private val ports: List<Int>,
    private val repeatsEntry: Boolean,
    private val client: HttpClient,
    private val takeUpTime: Duration = TAKE_UP_TIME,
) {
    /** Events received over all attempts, in the order of their arrival. */
    val events = CopyOnWriteArrayList<Event>()
    val attempts = CopyOnWriteArrayList<Attempt>()

    /** Id of the attempt that brought the first event, or null. */
    @Volatile
    private var firstEventFrom: String? = null

    val versions: Set<String> get() = events.mapTo(LinkedHashSet()) { it.version }
    val isWhole: Boolean get() = attempts.lastOrNull()?.isWhole ?: false

    /** Whether the stream broke after some events and was asked for again. */
    val isTakenUp: Boolean get() = attempts.any { it.isTakeUp }

    /** Calls entries until an answer has ended regularly, or for [takeUpTime] from the first broken or refused one. */
    suspend fun receive() {
        val first = attempt(0).also { attempts += it }
        val start = TimeSource.Monotonic.markNow()
        var last = first
        while (!last.isWhole && start.elapsedNow() < takeUpTime) {
            delay(PAUSE)
            last = attempt(attempts.size).also { attempts += it }
        }
    }

    private suspend fun attempt(number: Int): Attempt {
        val id = "$name-$number"
        val after = events.lastOrNull()?.number
        val offset = if (number > 0 && repeatsEntry) number - 1 else number
        val request = request(id, ports[offset % ports.size], after)
        val start = TimeSource.Monotonic.markNow()
        val attempt = Attempt(id, isTakeUp = after != null)
        withTimeoutOrNull(ATTEMPT_TIME) { runInterruptible(Dispatchers.IO) { send(request, attempt) } }
        return attempt.also { it.time = start.elapsedNow() }
    }

    private fun request(
        id: String,
        port: Int,
        after: Int?,
    ): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI("http://localhost:$port/streams/1"))
                .POST(HttpRequest.BodyPublishers.ofString(name))
                .header("Attempt-Id", id)
                .header("Credential", "good-key")
        if (after != null) {
            builder.header("Last-Event-Id", "$after").header("Resumes", checkNotNull(firstEventFrom))
        }
        return builder.build()
    }

    private fun send(
        request: HttpRequest,
        attempt: Attempt,
    ) {
        try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofInputStream())
            attempt.status = response.statusCode()
            response.body().bufferedReader().use { if (response.statusCode() == OK) read(it, attempt.id) }
            attempt.isWhole = response.statusCode() == OK
        } catch (exception: IOException) {
            attempt.failure = exception
        }
    }

    private fun read(
        reader: BufferedReader,
        id: String,
    ) {
        val lines = ArrayList<String>()
        reader.forEachLine { line ->
            if (line.isEmpty()) {
                eventOf(lines)?.let {
                    if (events.isEmpty()) firstEventFrom = id
                    events += it
                }
                lines.clear()
            } else {
                lines += line
            }
        }
    }

    /** Returns the event of [lines], or null if they are a comment. */
    private fun eventOf(lines: List<String>): Event? {
        val number = lines.firstOrNull { it.startsWith("id: ") }?.removePrefix("id: ")?.toInt() ?: return null
        return Event(number, version = lines.first { it.startsWith("data: ") }.substringAfterLast(' '))
    }

    override fun toString(): String = "$name: ${events.joinToString(" ")}, attempts: $attempts"

    /** An event of a target whose software has this [version]. */
    data class Event(
        val number: Int,
        val version: String,
    ) {
        override fun toString(): String = "$number/$version"
    }

    /**
     * A request and what came back.
     *
     * @property isTakeUp whether it goes on after events that the caller has
     */
    class Attempt(
        val id: String,
        val isTakeUp: Boolean,
    ) {
        /** Status of the answer, or null if none arrived. */
        @Volatile
        var status: Int? = null

        @Volatile
        var isWhole = false

        @Volatile
        var failure: IOException? = null

        /** Time until the answer ended. */
        @Volatile
        var time = Duration.ZERO

        /** Whether no stream began: the answer has another status, or none arrived. */
        val isWithoutStream: Boolean get() = status != OK

        /** Whether the answer says that the request has not run. */
        val isRefused: Boolean get() = status == TOO_MANY_REQUESTS || status == UNAVAILABLE

        override fun toString(): String = "$id $status whole=$isWhole $time ${failure?.message.orEmpty()}".trim()
    }

    private companion object {
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        val TAKE_UP_TIME = 5.seconds
        val ATTEMPT_TIME = 6.seconds
        val PAUSE = 100.milliseconds
    }
}
