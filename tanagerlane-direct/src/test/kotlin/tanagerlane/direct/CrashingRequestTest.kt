package tanagerlane.direct

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.FakeTarget.EndKind
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One request without a prompt crashes every target that runs it, and comes again. */
class CrashingRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun startSite(entries: Int = 3): RequestSite = RequestSite(vertx).also { it.start(entries) }

        listOf(
            CrashCase("calls", "/calls/1", EarlyEnd()),
            CrashCase("calls that have the head of their answer", "/calls/1", EarlyEnd(events = 0)),
            CrashCase("calls that may run only once", "/unsafe/1", EarlyEnd()),
            CrashCase("streams without a head", "/streams/1", EarlyEnd()),
            CrashCase("streams before their first event", "/streams/1", EarlyEnd(events = 0)),
            CrashCase("streams after some events", "/streams/1", EarlyEnd(events = 3)),
            CrashCase("two calls at once", "/calls/1", EarlyEnd(), bodies = listOf("crash 1", "crash 2")),
        ).forEach { case ->
            test("a request that crashes targets stops reaching them: ${case.name}") {
                val site = startSite()
                site.targets.forEach { target ->
                    target.endsEarly = { case.end.takeIf { _ -> it.body in case.bodies } }
                }
                val outcomes =
                    coroutineScope {
                        case.bodies.map { async { site.sendAgainAndAgain(case.path, it, COMINGS_TIME) } }.awaitAll()
                    }
                assertSoftly {
                    case.bodies.zip(outcomes).forEach { (body, answers) ->
                        withClue("$body, answers $answers") {
                            val crashes = site.crashesBy(body)
                            crashes.size shouldBeGreaterThanOrEqual CRASHES_TO_JUDGE
                            val third = crashes.getOrElse(CRASHES_TO_JUDGE - 1) { crashes.last() }
                            site.runsOf(body).count { it > third + CONTACT_TIME } shouldBeLessThanOrEqual MAXIMUM_LATE
                            val last = answers.takeLast(4)
                            last.map { it.status } shouldBe List(4) { 503 }
                            // The ends of one term as all entries state it.
                            val ends = last.map { it.at + (it.retryAfter ?: 0.seconds) }
                            ends.max() - ends.min() shouldBeLessThan 1.seconds
                            last.minOf { it.retryAfter ?: 0.seconds } shouldBeGreaterThan 1.seconds
                        }
                    }
                }
            }
        }

        test("an entry that starts later refuses a request that has crashed targets") {
            val site = startSite(entries = 2)
            site.targets.forEach { target -> target.endsEarly = { EarlyEnd().takeIf { _ -> it.body == CRASHING } } }
            site.sendAgainAndAgain("/calls/1", CRASHING, COMINGS_TIME)
            val entry = site.startEntry()
            delay(2.seconds)
            val runs = site.runsOf(CRASHING).size
            val answer = site.send(entry, "/calls/1", CRASHING)
            withClue("$answer") {
                site.runsOf(CRASHING).size shouldBe runs
                answer.status shouldBe 503
                (answer.retryAfter ?: 0.seconds) shouldBeGreaterThan 1.seconds
            }
        }

        test("requests with another body or of another workspace are served beside one that crashes targets") {
            val site = startSite()
            site.targets.forEach { target ->
                target.endsEarly = { EarlyEnd().takeIf { _ -> it.body == CRASHING && it.workspace == "crews" } }
            }
            coroutineScope {
                launch { site.sendAgainAndAgain("/calls/1", CRASHING, COMINGS_TIME) }
                delay(COMINGS_TIME / 2)
                val answers =
                    List(ROUNDS) { round ->
                        delay(100.milliseconds)
                        listOf(
                            site.send(round, "/calls/1", "another"),
                            site.send(round, "/calls/1", CRASHING, key = "other-key"),
                        )
                    }.flatten()
                answers.map { it.status } shouldBe List(ROUNDS * 2) { 200 }
            }
            site.crashesBy(CRASHING).size shouldBeGreaterThanOrEqual CRASHES_TO_JUDGE
        }

        test("a request that comes often is served while targets crash one after the other for other reasons") {
            val site = startSite()
            coroutineScope {
                val crashes =
                    launch {
                        repeat(CRASHES_BESIDE) {
                            delay(CRASH_PAUSE)
                            site.targets[it % site.targets.size].crash()
                        }
                    }
                val failures =
                    List(CALLERS) { caller ->
                        async {
                            val answers = ArrayList<RequestSite.Answer>()
                            while (crashes.isActive) {
                                answers += site.send(caller, "/calls/1", "sound")
                            }
                            answers.filter { it.status != 200 }
                        }
                    }.awaitAll().flatten()
                failures.shouldBeEmpty()
            }
            site.targets.sumOf { it.crashes } shouldBe CRASHES_BESIDE
            List(ROUNDS) { site.send(it, "/calls/1", "sound").status } shouldBe List(ROUNDS) { 200 }
        }

        listOf(
            "connections that are cut before the answer" to EarlyEnd(kind = EndKind.CUT),
            "connections that are cut after the head" to EarlyEnd(events = 0, kind = EndKind.CUT),
            "connections that are cut after some events" to EarlyEnd(events = 3, kind = EndKind.CUT),
            "a silent second" to EarlyEnd(delayMilliseconds = 1000, kind = EndKind.LATE_ANSWER),
        ).forEach { (name, end) ->
            test("a request is served after $name") {
                val site = startSite()
                val remaining = AtomicInteger(EARLY_ENDS)
                site.targets.forEach { target ->
                    target.endsEarly = { end.takeIf { remaining.getAndDecrement() > 0 } }
                }
                while (remaining.get() > 0) {
                    site.comesOnce(remaining.get(), "/streams/1", "sound")
                }
                List(ROUNDS) { site.send(it, "/streams/1", "sound").status } shouldBe List(ROUNDS) { 200 }
                site.targets.sumOf { it.crashes } shouldBe 0
            }
        }

        test("items under which targets crash are finished once the targets stand") {
            val site = startSite(entries = 1)
            site.startBatch()
            val runs = ConcurrentHashMap<String, Int>()
            site.targets.forEach { target ->
                target.endsEarly = { EarlyEnd().takeIf { _ -> runs.merge(it.path, 1, Int::plus)!! <= EARLY_ENDS } }
            }
            site.send(0, "/jobs/x", "i1\ni2", id = "job-1").status shouldBe 202
            eventually(JOB_TIME) {
                site
                    .send(0, "/results/job-1", "")
                    .body
                    .lines()
                    .toSet() shouldBe
                    setOf("i1 COMPLETED 10", "i2 COMPLETED 10", "2 of 2")
            }
            site.targets
                .flatMap { it.crashed }
                .flatMap { it.runs }
                .shouldNotBeEmpty()
            runs.values.min() shouldBeGreaterThan EARLY_ENDS
        }
    }) {
    private data class CrashCase(
        val name: String,
        val path: String,
        val end: EarlyEnd,
        val bodies: List<String> = listOf(CRASHING),
    )

    private companion object {
        const val CRASHING = "crash"

        /** Time for which a request comes again and again. */
        val COMINGS_TIME = 4500.milliseconds

        /** Time after the third crash from which the runs of the request are counted. */
        val CONTACT_TIME = 1.seconds
        const val CRASHES_TO_JUDGE = 3

        /** Runs that may begin later than [CONTACT_TIME] after the third crash. */
        const val MAXIMUM_LATE = 3

        /** Runs that end early before the request is answered. */
        const val EARLY_ENDS = 6
        const val ROUNDS = 12
        const val CALLERS = 6
        const val CRASHES_BESIDE = 12
        val CRASH_PAUSE = 450.milliseconds
        val JOB_TIME = 20.seconds
    }
}
