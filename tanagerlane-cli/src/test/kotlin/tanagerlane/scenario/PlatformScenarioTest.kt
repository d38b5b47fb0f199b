package tanagerlane.scenario

import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlatformScenarioTest :
    FunSpec({
        test("online requests are served during an outage of the object API, as the configuration is kept") {
            Scenario(engines = 1, services = 1).use { scenario ->
                scenario.begin()
                scenario.storeStandin.faults("""{"down":true}""")
                val answers =
                    (1..80).map {
                        delay(LOAD_INTERVAL)
                        scenario.caller(it % 2).chat("outage $it.")
                    }
                answers.filter { it.status != 200 } shouldBe emptyList()
                (1..80).map { scenario.targets[0].runsOf("outage $it.") } shouldBe List(80) { 1 }
                scenario.storeStandin.faults("{}")
                scenario.eventually("jobs are taken again") { scenario.caller(0).submitJob("late", 1).status == 202 }
                scenario.awaitJob(scenario.caller(1), "late")
            }
        }

        test("an entry that starts again during an outage serves by its peers' configuration") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                scenario.storeStandin.faults("""{"down":true}""")
                scenario.entries[1].process.kill()
                scenario.entries[1].process.startAgain()
                scenario.eventually("the entry has the configuration") {
                    "\"revision\":2," in scenario.entries[1].status().orEmpty()
                }
                scenario.awaitReady(usable = 1, nodes = listOf(scenario.entries[1]))
                scenario.caller(1).chat("after the restart").status shouldBe 200
            }
        }

        test("a withdrawn key is refused within five seconds on connections that were open") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                val callers = scenario.entries.indices.map { scenario.caller(it) }
                callers.map { it.get("/v1/models").status } shouldBe listOf(200, 200)
                scenario.configuration
                    .withdrawKey(Scenario.WORKSPACE, "test")
                    .getOrElse { error("not withdrawn: $it") }
                scenario.eventually("both entries refuse the key", bound = 5.seconds) {
                    callers.all { it.get("/v1/models").status == 401 }
                }
                val answer = callers[0].chat("with a withdrawn key")
                answer.json shouldBe
                    Json.parseToJsonElement(
                        """{"error":{"type":"no_key","run":"not_run","message":"No valid key came with the request."}}""",
                    )
                scenario.targets.single().runsOf("with a withdrawn key") shouldBe 0
            }
        }

        test("a leaving target gets nothing new after two seconds") {
            Scenario(engines = 2, services = 0).use { scenario ->
                scenario.begin()
                scenario.applyInventory(leaving = setOf("finding-models-1"))
                delay(2.seconds)
                val answers = (1..40).map { scenario.caller(it % 2).chat("leaving $it.") }
                scenario.caller(0).submitJob("leaving-job", items = 40).status shouldBe 202
                scenario.awaitJob(scenario.caller(1), "leaving-job")
                answers.filter { it.status != 200 } shouldBe emptyList()
                scenario.targets[0].runsOf("leaving") shouldBe 0
                scenario.targets[1].runsOf("leaving") shouldBeGreaterThan 40
            }
        }
    }) {
    private companion object {
        val LOAD_INTERVAL = 100.milliseconds
    }
}
