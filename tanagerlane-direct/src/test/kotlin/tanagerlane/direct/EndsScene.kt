package tanagerlane.direct

import com.github.michaelbull.result.get
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.direct.EndsRow.Event
import tanagerlane.direct.EndsRow.Kind
import tanagerlane.direct.EndsRow.Point
import tanagerlane.direct.PacedCaller.Answer
import tanagerlane.store.ObjectKey
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Plays [row] with a deployment of its own, beside callers that use their connections until the process is gone.
 *
 * @param address loopback address for the entries of this row alone
 * @param ports ports of two entries
 */
internal class EndsScene(
    private val row: EndsRow,
    private val vertx: Vertx,
    private val address: String,
    private val ports: List<List<Int>>,
) {
    private val fill = if (row.point == Point.UNREAD) UNREAD_EVENT_BYTES else 0
    private val targets = List(2) { HeldTarget(vertx, holdsBody = row.point.isMiddle, fill) }
    private val deployment = FakeDeployment(vertx, emptyList())
    private val store = HangingStore(deployment.store)
    private val violations = CopyOnWriteArrayList<String>()
    private val clock = TimeSource.Monotonic
    private val isHeld = row.point in setOf(Point.HEAD, Point.MIDDLE, Point.UNREAD) || row.point.isSilent
    private val id = if (isHeld) "held" else "asked"
    private val body = if (row.kind == Kind.SUBMIT) "a\nb" else "body"
    private val text = row.kind.request(id, body)
    private lateinit var entries: List<StartedDaemon>

    /** Whether the entries have stopped; their processes would end now. */
    @Volatile
    private var isGone = false

    /** Returns how the outcome differs from what callers are promised. */
    suspend fun play(): List<String> {
        start()
        coroutineScope {
            PacedCaller(InetSocketAddress(address, entries[0].port)).use { caller ->
                val others = bringToPoint(caller)
                val kept = List(KEPT_CALLERS) { launch { callUntilGone(it) } }
                val stops = happen()
                val sentAt = clock.markNow()
                val isLateReader = row.point == Point.UNREAD
                val answer = async { if (!isLateReader) checkAnswers(caller, sentAt) }
                goOn(caller, stops)
                answer.await()
                if (isLateReader) checkAnswers(caller, sentAt)
                others.awaitAll()
                if (stops == null) entries.forEach { it.daemon.drainAndStop() }
                stops?.join()
                isGone = true
                kept.forEach { it.join() }
            }
            store.hangingPrefix = null
            targets.forEach { it.release() }
            delay(EndsTimes.TIME_FOR_LATE_EFFECTS)
        }
        return violations + lateEffects.mapNotNull { it() }
    }

    private val lateEffects = CopyOnWriteArrayList<suspend () -> String?>()

    private suspend fun start() {
        deployment.prepare()
        targets.forEachIndexed { number, target -> deployment.register("t$number", target.start().port) }
        // A long objective, so that waiting requests are not refused before the event.
        if (!row.point.isSilent) deployment.changeRoutes { routes -> routes.map { it.copy(objective = 8.seconds) } }
        val count = if (row.event == Event.STOP_OF_TWO) 2 else 1
        val budget =
            if (row.event ==
                Event.SMALL_BUDGET
            ) {
                "callerBudgetBytes = ${SMALL_BUDGET_BYTES + fill * HeldTarget.EVENTS}"
            } else {
                ""
            }
        entries =
            List(count) {
                deployment.start(
                    "entry-$it",
                    "entry",
                    ownStore = store,
                    ports = ports[it],
                    address = address,
                    stopTime = EndsTimes.STOP_TIME,
                    waiting = row.point == Point.PLACE,
                    furtherSettings = budget,
                )
            }
        entries.forEach { entry ->
            eventually(20.seconds) { ask(entry.port, "first", Kind.ONCE)?.status shouldBe 200 }
        }
        ask(entries[0].port, "known", Kind.SUBMIT, "a\nb")?.status shouldBe 202
        if (row.point == Point.UNREAD) targets.forEach { it.release() }
    }

    /** Returns the ends of the requests that were needed for it. */
    private suspend fun CoroutineScope.bringToPoint(caller: PacedCaller): List<Deferred<Unit>> {
        var others = emptyList<Deferred<Unit>>()
        when (row.point) {
            Point.BODY -> {
                caller.send(text.dropLast(body.length - 1))
            }

            Point.STORE -> {
                store.hangingPrefix = "job"
                caller.send(text)
            }

            Point.PLACE -> {
                others = occupy(PLACES)
                caller.send(text)
            }

            Point.AHEAD -> {
                caller.send(Kind.ONCE.request("held", "body") + text)
            }

            else -> {
                if (row.point.isSilent) others = occupy(PLACES - 1)
                caller.send(text)
            }
        }
        if (isHeld || row.point == Point.AHEAD) eventually(5.seconds) { ("held" in received()) shouldBe true }
        if (row.point !=
            Point.READ
        ) {
            delay(if (row.point == Point.UNREAD || row.point.isSilent) 1.seconds else EndsTimes.SETTLING_TIME)
        }
        return others
    }

    /** Occupies [count] places at targets; returns the ends of the requests that do. */
    private suspend fun CoroutineScope.occupy(count: Int): List<Deferred<Unit>> {
        val others = List(count) { async { checkEnd("held-$it", ask(entries[0].port, "held-$it", Kind.ONCE)) } }
        eventually(5.seconds) { received().size shouldBe count + 1 }
        return others
    }

    /** Lets the event begin; returns the stops of the entries, or null if none stops. */
    private suspend fun CoroutineScope.happen(): Job? {
        val stops =
            if (row.stops) {
                launch {
                    if (row.isStopped) delay(EndsTimes.TIME_UNTIL_STOP)
                    entries.forEach { it.daemon.drainAndStop() }
                }
            } else {
                null
            }
        when (row.event) {
            Event.STORE_HANGS -> store.hangingPrefix = ""
            Event.STORE_DOWN -> store.isDown = true
            Event.TARGET_GONE -> targets.first { "held" in it.requests || row.point == Point.PLACE }.crash()
            Event.SMALL_BUDGET -> launch { sendLarge() }
            else -> deployment.configureFor(row)
        }
        return stops
    }

    private fun sendLarge() {
        val body = "x".repeat(LARGE_BODY_BYTES)
        checkEnd("large", ask(entries[0].port, "large", Kind.SAFE, body))
    }

    private suspend fun goOn(
        caller: PacedCaller,
        stops: Job?,
    ) {
        when {
            row.event == Event.STOP_RUNS_OUT && row.point == Point.BODY -> delay(EndsTimes.REFUSAL_TIME)
            row.event == Event.STOP_RUNS_OUT -> stops?.join()
            row.event == Event.TARGET_SILENT -> delay(1.seconds)
            row.point == Point.READ -> Unit
            else -> delay(EndsTimes.TIME_UNTIL_RELEASE)
        }
        if (row.event == Event.STORE_DOWN) store.hangingPrefix = null
        if (row.point == Point.BODY) caller.send(text.takeLast(body.length - 1))
        if (row.point.isElsewhere) {
            targets.filterNot { id in it.requests }.forEach { it.release() }
            delay(EndsTimes.TIME_ELSEWHERE)
        }
        targets.forEach { it.release() }
    }

    private suspend fun checkAnswers(
        caller: PacedCaller,
        sentAt: TimeSource.Monotonic.ValueTimeMark,
    ) {
        var begunAt = sentAt
        if (row.point == Point.AHEAD) {
            checkEnd("held", caller.receive())
            begunAt = clock.markNow()
        }
        val answer = caller.receive()
        checkEnd(id, answer)
        val time = begunAt.elapsedNow()
        val limit = if (row.kind == Kind.RESULTS) EndsTimes.RESULTS_TIME else EndsTimes.ROUTE_TIME
        if (time > limit) violations += "$id took $time"
        if (row.event == Event.STOP_OF_TWO && answer?.status == SERVICE_UNAVAILABLE) {
            checkEnd("$id-again", ask(entries[1].port, "$id-again", row.kind, body))
        }
    }

    private fun checkEnd(
        id: String,
        answer: Answer?,
    ) {
        val mayBeCut = row.event == Event.TARGET_GONE || row.event == Event.STOP_RUNS_OUT
        when {
            answer == null -> violations += "$id has no end"
            !answer.isWhole && !mayBeCut -> violations += "$id was cut: $answer"
            answer.status == TIMED_OUT && row.point == Point.PLACE && id == this.id -> violations += "$id got $answer"
            answer.status in NOT_RUN -> lateEffects += { effectOf(id)?.let { "$id got ${answer.status}, but $it" } }
        }
    }

    /** Returns what the request [id] has brought about, or null if it has had no effect. */
    private suspend fun effectOf(id: String): String? {
        val isOwn = id == this.id
        return when {
            id in received() -> "reached a target"
            isOwn && row.kind == Kind.SUBMIT && isStored("jobs/card.$id") -> "is stored"
            isOwn && row.kind == Kind.END && isStored("jobs/end.known") -> "is stored"
            else -> null
        }
    }

    private suspend fun isStored(path: String) = deployment.store.get(ObjectKey(path)).get() != null

    /** Sends requests on one connection after another. */
    private suspend fun callUntilGone(number: Int) {
        val kind = if (row.point == Point.PLACE) Kind.UNKNOWN_ROUTE else Kind.SAFE
        var requests = 0
        while (!isGone) {
            PacedCaller(InetSocketAddress(address, entries.last().port)).use {
                do {
                    delay(EndsTimes.KEPT_INTERVAL)
                    val id = "kept-$number-${requests++}"
                    val answer = if (it.send(kind.request(id, "body"))) it.receive() else null
                    if (answer != null) checkEnd(id, answer)
                    // A request that meets the end of its connection was not read, so no target may have it.
                    if (answer == null) lateEffects += { "$id has no end".takeIf { id in received() } }
                } while (answer != null && !isGone)
            }
        }
    }

    private fun received(): List<String> = targets.flatMap { it.requests }

    private fun ask(
        port: Int,
        id: String,
        kind: Kind,
        body: String = "body",
    ): Answer? =
        PacedCaller(InetSocketAddress(address, port)).use {
            it.send(kind.request(id, body))
            it.receive()
        }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val TIMED_OUT = 504
        val NOT_RUN = setOf(408, 421, 429, SERVICE_UNAVAILABLE)
        const val PLACES = 8
        const val KEPT_CALLERS = 2
        const val SMALL_BUDGET_BYTES = 100_000
        const val LARGE_BODY_BYTES = 60_000
        const val UNREAD_EVENT_BYTES = 400_000
    }
}
