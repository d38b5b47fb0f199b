package tanagerlane.scenario

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

class RequestFaultScenarioTest :
    FunSpec({
        test("a call that may not be repeated runs once and is refused as unknown when its sidecar is killed") {
            Scenario(engines = 0, services = 1).use { scenario ->
                scenario.begin()
                val service = scenario.targets.single()
                service.faults("""{"hang":true}""")
                val answer =
                    coroutineScope {
                        val call =
                            async(
                                Dispatchers.IO,
                            ) { scenario.caller(0).post("/services/log-store/logs/1", "work order 1") }
                        scenario.eventually("the call reaches the service") { service.runsOf("work order 1") == 1 }
                        scenario.sidecars[0].process.kill()
                        call.await()
                    }
                service.faults("{}")
                scenario.sidecars[0].process.startAgain()
                scenario.awaitReady(usable = 1)
                refusalOf(answer.json) shouldBe Refused("outcome_unknown", "unknown")
                service.runsOf("work order 1") shouldBe 1
            }
        }

        test("calls offered to a frozen sidecar do not run after their refusal, and later ones go elsewhere") {
            Scenario(engines = 0, services = 2, entryCount = 1).use { scenario ->
                scenario.begin()
                scenario.sidecars[0].process.freeze()
                val answers =
                    coroutineScope {
                        (1..CALLS)
                            .map { async(Dispatchers.IO) { scenario.caller(0).post(LOGS, "note $it.", 4.seconds) } }
                            .awaitAll()
                    }
                scenario.awaitReady(usable = 1)
                scenario.caller(0).post(LOGS, "note after the loss").status shouldBe 200
                scenario.sidecars[0].process.thaw()
                scenario.awaitReady(usable = 2)
                val runs = (1..CALLS).map { number -> scenario.targets.sumOf { it.runsOf("note $number.") } }
                answers.zip(runs).filterNot { (answer, runs) -> isTruthful(answer, runs) }.shouldBeEmpty()
                answers.map { it.status }.toSet() - setOf(200, 502, 503, 504) shouldBe emptySet()
            }
        }

        test("a stream goes on without gap or repeat when its connection falls silent for good") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                val link = scenario.forward(sidecar = 0)
                val engine = scenario.targets.single()
                val before = link.accepted
                val received = ArrayList<String>()
                scenario.caller(0).stream("heater log", tokens = TOKENS).forEach { event ->
                    received += event
                    if (received.size == EVENTS_BEFORE_SILENCE) {
                        link.silence()
                    }
                }
                engine.runsOf("heater log") shouldBe 1
                (link.accepted > before) shouldBe true
                stableEvents(received) shouldBe
                    stableEvents(engine.direct.stream("heater log", tokens = TOKENS).toList())
            }
        }
    }) {
    private companion object {
        const val LOGS = "/services/log-store/logs/1"
        const val CALLS = 12
        const val TOKENS = 1000
        const val EVENTS_BEFORE_SILENCE = 100
    }
}

/** Whether [answer] may be given to a call that its targets ran [runs] times. */
private fun isTruthful(
    answer: Caller.Answer,
    runs: Int,
): Boolean =
    when {
        answer.status == 200 -> runs == 1
        refusalOf(answer.json).run == "not_run" -> runs == 0
        else -> runs <= 1
    }
