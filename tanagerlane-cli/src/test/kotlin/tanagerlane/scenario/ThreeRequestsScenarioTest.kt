package tanagerlane.scenario

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

class ThreeRequestsScenarioTest :
    FunSpec({
        val scenario = autoClose(Scenario(engines = 1, services = 1))
        val (engine, service) = scenario.targets

        beforeSpec { scenario.begin() }

        test("each entry answers an online request as the engine does, which runs it once") {
            for (index in scenario.entries.indices) {
                val prompt = "points heater at entry $index"
                val answer = scenario.caller(index).chat(prompt, tokens = 8)
                answer.status shouldBe 200
                engine.runsOf(prompt) shouldBe 1
                stable(answer.json) shouldBe stable(engine.direct.chat(prompt, tokens = 8).json)
            }
        }

        test("each entry streams what the engine streams") {
            for (index in scenario.entries.indices) {
                val prompt = "streamed at entry $index"
                val events = stableEvents(scenario.caller(index).stream(prompt, tokens = 20).toList())
                engine.runsOf(prompt) shouldBe 1
                events shouldBe stableEvents(engine.direct.stream(prompt, tokens = 20).toList())
            }
        }

        test("each entry passes a service call on once") {
            for (index in scenario.entries.indices) {
                val answer = scenario.caller(index).post("/services/log-store/logs/$index", "note $index")
                answer.json shouldBe
                    Json.parseToJsonElement("""{"method":"POST","uri":"/logs/$index","body":"note $index"}""")
                service.runsOf("note $index") shouldBe 1
            }
        }

        test("a job taken by one entry is read at the other, each item once") {
            scenario.caller(0).submitJob("night", items = 40).status shouldBe 202
            val status = scenario.awaitJob(scenario.caller(1), "night")
            status - "submittedAt" shouldBe
                Json
                    .parseToJsonElement(
                        """{"job":"night","phase":"finished","due":"2030-01-01T00:00:00Z","items":40,"done":40,"failed":0}""",
                    ).jsonObject
                    .toMap()
            itemNumbers(scenario.caller(1).results("night")) shouldBe (1..40).toList()
            (1..40).map { engine.runsOf("\"night $it\\\"") } shouldBe List(40) { 1 }
        }

        test("no target has seen the caller's key") {
            val received = scenario.targets.flatMap { it.calls() }
            received.isNotEmpty() shouldBe true
            received.filter { Scenario.KEY in it.toString() } shouldBe emptyList()
        }
    })

/** An answer without its identity and time, which differ between runs. */
internal fun stable(answer: JsonElement): Map<String, JsonElement> = (answer as JsonObject) - "id" - "created"

internal fun stableEvents(events: List<String>): List<Any> =
    events.map { if (it == "[DONE]") it else stable(Json.parseToJsonElement(it)) }

/** Numbers of the items that have a successful result, in order. */
internal fun itemNumbers(results: List<JsonElement>): List<Int> =
    results
        .filter { "\"status_code\":200" in it.toString() }
        .map {
            it
                .toString()
                .substringAfter("item-")
                .substringBefore('"')
                .toInt()
        }.sorted()
