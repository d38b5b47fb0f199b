package tanagerlane.scenario

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonObject
import tanagerlane.batch.BatchRules

class JobScenarioTest :
    FunSpec({
        test("a job finishes, each item once, when its entry is killed right after the acknowledgement") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                scenario.caller(0).submitJob("night", items = 40).status shouldBe 202
                scenario.entries[0].process.kill()
                val other = scenario.caller(1)
                other.submitJob("night", items = 40).status shouldBe 202
                stableStatus(scenario.awaitJob(other, "night")) shouldBe finished("night", items = 40)
                itemNumbers(other.results("night")) shouldBe (1..40).toList()
                val engine = scenario.targets.single()
                (1..40).map { engine.runsOf("\"night $it\\\"") } shouldBe List(40) { 1 }
            }
        }

        test("a job finishes with one result for each item when the sidecar that holds a chunk is killed") {
            Scenario(engines = 2, services = 0).use { scenario ->
                scenario.begin()
                val caller = scenario.caller(0)
                caller.submitJob("press", items = 60, tokens = 200).status shouldBe 202
                scenario.eventually("an engine runs items") { scenario.targets.any { it.runsOf("press") > 0 } }
                val holder = scenario.targets.indexOfFirst { it.runsOf("press") > 0 }
                scenario.sidecars[holder].process.kill()
                stableStatus(scenario.awaitJob(caller, "press", TAKEOVER_BOUND)) shouldBe finished("press", items = 60)
                itemNumbers(caller.results("press")) shouldBe (1..60).toList()
            }
        }
    }) {
    private companion object {
        /** Two terms of a claim, which another process must have seen unchanged for one before it takes over. */
        val TAKEOVER_BOUND = BatchRules().leaseTerm * 2
    }
}

private fun stableStatus(status: Map<String, JsonElement>): Map<String, JsonElement> = status - "submittedAt"

private fun finished(
    job: String,
    items: Int,
): Map<String, JsonElement> {
    val text =
        """{"job":"$job","phase":"finished","due":"2030-01-01T00:00:00Z","items":$items,"done":$items,"failed":0}"""
    return Json.parseToJsonElement(text).jsonObject.toMap()
}
