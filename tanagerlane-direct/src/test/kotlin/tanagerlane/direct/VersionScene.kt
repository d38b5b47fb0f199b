package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ListedResult
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A deployment with one job of one item and targets of two versions, each registered only when a test tells so. */
internal class VersionScene(
    private val vertx: Vertx,
) {
    private val targets =
        mapOf(
            "t1" to FakeTarget(vertx, "t1", EVENTS, PAUSE_MILLISECONDS, version = "v1"),
            "t2" to FakeTarget(vertx, "t2", EVENTS, PAUSE_MILLISECONDS, version = "v1"),
            "s1" to FakeTarget(vertx, "s1", EVENTS, PAUSE_MILLISECONDS, version = "v2"),
            // The incarnation of t1 that replaces the first one.
            REPLACEMENT to FakeTarget(vertx, "t1", EVENTS, PAUSE_MILLISECONDS, version = "v2"),
        )
    val deployment = FakeDeployment(vertx, emptyList())

    /** Port of the entry for callers. */
    var port = 0
        private set

    /** Starts all targets, registers [name] and starts an entry. */
    suspend fun start(name: String): VersionScene {
        targets.values.forEach { it.start() }
        deployment.prepare()
        register(name)
        port = deployment.start("entry-1", "entry").port
        eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
        return this
    }

    fun target(name: String): FakeTarget = targets.getValue(name)

    /** Returns the requests of the item that [name] has received. */
    fun itemRequests(name: String): List<String> = target(name).requests.filter { it.startsWith("$ITEM ") }

    suspend fun register(
        vararg names: String,
        leaving: Boolean = false,
    ): Unit = names.map(::target).forEach { deployment.register(it.name, it.port, "", it.version, leaving) }

    suspend fun submit() {
        send("/jobs/x", "$JOB", "$ITEM")?.status shouldBe 202
    }

    /** Waits for the result of the item and returns it. */
    suspend fun result(): ListedResult {
        val storage = JobStorage(deployment.store, PART_BYTES)
        return eventually(20.seconds) {
            storage
                .pages(JOB)
                .getOrElse { error("$it") }
                .flatten()
                .single()
        }
    }

    private suspend fun send(
        path: String,
        id: String,
        body: String = "",
    ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body) }

    companion object {
        val JOB = JobId("night")
        val ITEM = RequestId("i1")
        const val REPLACEMENT = "t1 again"

        /** Time within which processes discover each other. */
        val DISCOVERY_TIME = 2.seconds

        /** Time within which a process reads a changed registration of a target. */
        val LISTING_TIME = 700.milliseconds
        private const val EVENTS = 60
        private const val PAUSE_MILLISECONDS = 50L
        private const val PART_BYTES = 100_000

        /** Returns the result of the item if all its events are of [version]. */
        fun completed(version: String): ListedResult {
            val text = (1..EVENTS).joinToString("\n") { "event $it $version" }
            return ListedResult(ITEM, ItemEnd.COMPLETED, text)
        }

        /** Returns the number of events that a runner has saved in [folder]. */
        fun savedEvents(folder: Path): Int =
            folder.toFile().listFiles().orEmpty().sumOf { file ->
                ProgressFrames.decode(file.readBytes()).sumOf { record -> record.items.sumOf { it.events.size } }
            }
    }
}
