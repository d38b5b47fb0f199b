package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.standin.store.ObjectStoreServer
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Entries and a batch runner in processes of their own, and targets of several versions in this one.
 *
 * @param versions versions of the targets
 * @param restartMilliseconds time for which a target that crashed is away, in milliseconds
 * @param unregistered versions of which no target is registered at the start
 */
internal class VersionsSite(
    private val vertx: Vertx,
    versions: List<String>,
    restartMilliseconds: Long,
    private val entryCount: Int = 3,
    unregistered: Set<String> = emptySet(),
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private lateinit var storeServer: ObjectStoreServer
    val targets =
        versions.mapIndexed { index, version ->
            FakeTarget(
                vertx,
                "t$index",
                EVENTS,
                PAUSE_MILLISECONDS,
                restartMilliseconds = restartMilliseconds,
                version = version,
            )
        }
    val deployment = FakeDeployment(vertx, targets.filter { it.version !in unregistered })
    lateinit var entries: List<EntryProcess>
        private set
    lateinit var runner: EntryProcess
        private set

    /** Starts everything; returns once all entries are ready and have had time to see all targets. */
    suspend fun start() {
        targets.forEach { it.start() }
        deployment.prepare()
        storeServer = ObjectStoreServer(deployment.store, vertx)
        val storePort = storeServer.start(0)
        entries = List(entryCount) { EntryProcess("entry-$it", "entry", storePort) }
        runner = EntryProcess("batch-1", "batch", storePort)
        (entries + runner).forEach { it.start() }
        (entries + runner).forEach { process ->
            withClue({ process.output().takeLast(SHOWN_CHARACTERS) }) {
                eventually(READY_TIME) { isReady(process) shouldBe true }
            }
        }
        delay(1.seconds)
        // Classes are loaded in the first request, which would keep streams of one entry from beginning with the others.
        coroutineScope {
            entries.indices
                .map { StreamCaller("first-$it", portsFor(it), repeatsEntry = true, client) }
                .map { async { it.receive() } }
        }
    }

    /**
     * Lets [count] callers receive streams at once and calls [disturb] once half of those at each entry are in the middle
     * of their streams; returns them once all are done.
     */
    suspend fun stream(
        count: Int,
        disturb: suspend () -> Unit,
    ): List<StreamCaller> =
        coroutineScope {
            val callers =
                List(count) {
                    val round = it / entries.size
                    StreamCaller("caller-$it", portsFor(it), repeatsEntry = round % 2 == 0, client)
                }
            val calls = callers.map { async { it.receive() } }
            withTimeoutOrNull(START_TIME) {
                val ofEntries = callers.withIndex().groupBy({ it.index % entries.size }, { it.value }).values
                while (!ofEntries.all(::areInTheMiddle)) delay(POLL)
            }
            disturb()
            calls.awaitAll()
            callers
        }

    /** Returns a caller that begins its stream at the first of [ports] and takes it up at the others in turn. */
    fun caller(
        name: String,
        ports: List<Int>,
        takeUpTime: Duration,
    ): StreamCaller = StreamCaller(name, ports, repeatsEntry = false, client, takeUpTime)

    /** Returns whether half of [callers] are in the middle of their streams. */
    private fun areInTheMiddle(callers: List<StreamCaller>): Boolean =
        callers.count { it.events.size in MIDDLE } * 2 >= callers.size

    /** Returns the ports of all entries in the order in which the caller with this [index] tries them. */
    private fun portsFor(index: Int): List<Int> {
        val ports = entries.map { it.port }
        val first = ports[index % ports.size]
        val others = ports - first
        return listOf(first) + if (index / (2 * ports.size) % 2 == 0) others else others.reversed()
    }

    /** Kills [processes] at the same moment and starts them again. */
    suspend fun restart(processes: List<EntryProcess>) {
        withContext(Dispatchers.IO) {
            processes.forEach { it.kill() }
            processes.forEach { it.awaitEnd() }
            processes.forEach { it.start() }
        }
    }

    /** Removes the targets of [version] from service; they also stop listening. */
    suspend fun removeTargets(version: String) {
        val removed = targets.filter { it.version == version }
        removed.forEach { deployment.deregister(it.name) }
        removed.forEach { it.crash() }
    }

    /** Returns the targets to which a request with this [id] came. */
    fun targetsOf(id: String): List<FakeTarget> =
        targets.filter { target -> target.requests.any { it.substringBefore(' ') == id } }

    /** Returns the number of requests for whole streams that came to [target]. */
    fun beganAt(target: FakeTarget): Int = target.requests.count { it.endsWith(" after 0") }

    suspend fun close() {
        if (::entries.isInitialized) {
            withContext(Dispatchers.IO) {
                (entries + runner).forEach { it.kill() }
                (entries + runner).forEach { it.close() }
            }
        }
        if (::storeServer.isInitialized) storeServer.stop()
    }

    private suspend fun isReady(process: EntryProcess): Boolean =
        withContext(Dispatchers.IO) {
            val uri = URI("http://localhost:${process.port}/ready")
            val request = HttpRequest.newBuilder(uri).timeout(CHECK_TIME.toJavaDuration()).build()
            try {
                client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == READY
            } catch (_: IOException) {
                false
            }
        }

    companion object {
        const val EVENTS = 40
        private const val PAUSE_MILLISECONDS = 20L
        private val MIDDLE = 5..30
        private const val READY = 200
        private const val SHOWN_CHARACTERS = 4_000
        private val CHECK_TIME = 1.seconds
        private val READY_TIME = 20.seconds
        private val START_TIME = 5.seconds
        private val POLL = 5.milliseconds
    }
}
