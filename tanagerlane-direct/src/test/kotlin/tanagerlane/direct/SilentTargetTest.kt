package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.FakeTarget.EndKind
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.measureTimedValue

/** Targets that fall silent for a while and then go on, each request at the first target that receives it. */
class SilentTargetTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        for ((besides, disturb) in disturbances) {
            listOf("an only target" to 1, "targets that are all full" to 2).forEach { (name, count) ->
                test(
                    "requests at $name that fall silent for up to 1.5 s are answered whole by the first run, $besides",
                ) {
                    val site = SilentSite.start(vertx, count, silenceMilliseconds = 1500)
                    val outcomes =
                        coroutineScope {
                            launch {
                                eventually(5.seconds) { site.runs.size shouldBe count * SilentSite.SILENCES.size }
                                disturb(site)
                            }
                            site.sendAll(copies = count)
                        }
                    outcomes.filterValues { it != Outcome(runs = 1) } shouldBe emptyMap()
                }
            }
        }

        mapOf("are refused" to false, "wait" to true).forEach { (name, waiting) ->
            test("requests at a silent target go on at another one with a free place, where those without one $name") {
                val site = SilentSite.start(vertx, targetCount = 2, silenceMilliseconds = 4000, waiting)
                val (outcomes, time) = measureTimedValue { site.sendAll(copies = 1) }
                outcomes.filterValues { it != Outcome(runs = 2) } shouldBe emptyMap()
                time shouldBeLessThan 3.seconds
            }
        }

        test("a request at a silent target does not leave it for one that is held back after failures") {
            val site = SilentSite.start(vertx, targetCount = 2, silenceMilliseconds = 1200)
            // Of two equal targets the first one is preferred.
            val failing = site.targets.first()
            failing.status = 500
            withContext(Dispatchers.IO) {
                // The backoff after the fifth failure, 3.2 s, is longer than the silence.
                eventually(10.seconds) {
                    RawCaller.send(site.entry.port, "/calls/other", "other")
                    failing.runs.count { it.path == "/calls/other" } shouldBe 5
                }
            }
            failing.isSilent = true
            site.send("/streams/between-events", "id") shouldBe Outcome(runs = 1)
        }

        listOf(1 to 1, 2 to 2).forEach { (targetCount, runs) ->
            test("an item at a target that is silent for 3 s is run $runs times if there are $targetCount targets") {
                val site = SilentSite.start(vertx, targetCount, silenceMilliseconds = 3000)
                site.deployment.start("batch-1", "batch")
                withContext(Dispatchers.IO) {
                    RawCaller.send(site.entry.port, "/jobs/x", "job-1", body = SilentSite.ITEM)?.status shouldBe 202
                    eventually(12.seconds) {
                        RawCaller.send(site.entry.port, "/results/job-1", "r")?.body shouldBe
                            "${SilentSite.ITEM} COMPLETED 10\n1 of 1"
                    }
                }
                site.runs.size shouldBe runs
            }
        }
    })

private val disturbances: Map<String, suspend (SilentSite) -> Unit> =
    mapOf(
        "undisturbed" to { _ -> },
        "while the entry stops" to { site -> site.entry.daemon.drainAndStop() },
        "while the configuration changes" to { site ->
            site.deployment.changeRoutes { routes -> routes.map { it.copy(objective = 400.milliseconds) } }
        },
    )

/** What a caller received, and how many runs began at targets. */
private data class Outcome(
    val status: Int? = 200,
    val events: List<Int> = (1..10).toList(),
    val isWhole: Boolean = true,
    val runs: Int,
)

/** An entry and its targets, each of which has four places and a queue of one. */
private class SilentSite(
    val deployment: FakeDeployment,
    val entry: StartedDaemon,
    val targets: List<FakeTarget>,
) {
    /** Runs of the requests and items that are silent at first. */
    val runs get() = targets.flatMap { it.runs }.filter { it.path in silentPaths }

    suspend fun sendAll(copies: Int): Map<String, Outcome> =
        coroutineScope {
            val requests = SILENCES.flatMap { silence -> List(copies) { silence.path to "${silence.path}-$it" } }
            requests
                .map { (path, id) ->
                    async { id to send(path, id) }
                }.awaitAll()
                .toMap()
        }

    suspend fun send(
        path: String,
        id: String,
    ): Outcome =
        withContext(Dispatchers.IO) {
            val answer = RawCaller.send(entry.port, path, id, body = id)
            val events = eventNumber.findAll(answer?.body.orEmpty()).map { it.groupValues[1].toInt() }
            Outcome(answer?.status, events.toList(), answer?.isWhole == true, runs.count { it.body == id })
        }

    data class Silence(
        val path: String,
        val end: EarlyEnd,
    )

    companion object {
        const val ITEM = "item"
        private val eventNumber = Regex("^id: (\\d+)$", RegexOption.MULTILINE)
        val SILENCES =
            listOf(
                Silence("/streams/before-head", EarlyEnd(events = null)),
                Silence("/streams/before-events", EarlyEnd(events = 0)),
                Silence("/streams/between-events", EarlyEnd(events = 3)),
                Silence("/streams/inside-event", EarlyEnd(events = 3, isInsideEvent = true)),
                Silence("/calls/before-head", EarlyEnd(events = null)),
            )

        private val itemSilence = Silence("/jobs/$ITEM", EarlyEnd(events = 3))
        private val silentPaths = (SILENCES + itemSilence).map { it.path }

        /** Starts a site whose targets are silent in the first run of each request, until one time for all requests. */
        @OptIn(ExperimentalCoroutinesApi::class)
        suspend fun start(
            vertx: Vertx,
            targetCount: Int,
            silenceMilliseconds: Long,
            waiting: Boolean = false,
        ): SilentSite {
            val begun = ConcurrentHashMap.newKeySet<String>()
            val firstRun = CompletableDeferred<TimeMark>()
            val targets = List(targetCount) { FakeTarget(vertx, "t$it").start() }
            for (target in targets) {
                target.endsEarly = { run ->
                    (SILENCES + itemSilence)
                        .firstOrNull { it.path == run.path && begun.add(run.body) }
                        ?.let { silence ->
                            firstRun.complete(TimeSource.Monotonic.markNow())
                            // All silences end together: an earlier end would free a place elsewhere.
                            val elapsed = firstRun.getCompleted().elapsedNow().inWholeMilliseconds
                            val delay = (silenceMilliseconds - elapsed).coerceAtLeast(1)
                            silence.end.copy(delayMilliseconds = delay, kind = EndKind.LATE_ANSWER)
                        }
                }
            }
            val deployment = FakeDeployment(vertx, targets).also { it.prepare() }
            val entry = deployment.start("entry-1", "entry", waiting = waiting)
            withContext(Dispatchers.IO) {
                eventually(10.seconds) { RawCaller.send(entry.port, "/streams/first", "first")?.status shouldBe 200 }
            }
            return SilentSite(deployment, entry, targets)
        }
    }
}
