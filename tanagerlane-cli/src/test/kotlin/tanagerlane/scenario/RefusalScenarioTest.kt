package tanagerlane.scenario

import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.RefusalMinute
import tanagerlane.runtime.StoredDocuments

class RefusalScenarioTest :
    FunSpec({
        test("what callers heard from a killed entry is stored by a peer once the entry has come back") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                val heard = scenario.refuseMany()
                scenario.entries[0].process.kill()
                scenario.entries[0].process.startAgain()
                scenario.awaitStored(heard)
            }
        }

        test("what callers heard from a killed entry is stored by a peer when the entry stays away") {
            Scenario(engines = 1, services = 0).use { scenario ->
                scenario.begin()
                val heard = scenario.refuseMany()
                scenario.entries[0].process.kill()
                scenario.awaitStored(heard)
            }
        }
    }) {
    private companion object {
        const val EACH = 15

        /** Has entry 0 refuse requests and returns how often each kind was heard. */
        fun Scenario.refuseMany(): Map<Kind, Long> {
            val known = caller(0)
            val unknown = caller(0, key = "tl-nobody")
            val answers =
                (1..EACH).flatMap {
                    listOf("oresund-lines" to known.get("/v1/jobs/none-$it"), null to unknown.get("/v1/models"))
                }
            return answers
                .map { (workspace, answer) -> Kind(workspace, refusalOf(answer.json)) }
                .groupingBy { it }
                .eachCount()
                .mapValues { it.value.toLong() }
        }

        suspend fun Scenario.awaitStored(heard: Map<Kind, Long>) {
            heard.values.toList() shouldBe listOf(EACH.toLong(), EACH.toLong())
            eventually("the stored refusals are those that were heard: $heard") { stored() == heard }
        }

        suspend fun Scenario.stored(): Map<Kind, Long> {
            val objects = store.list("refusals/").getOrElse { error("not listed: $it") }.objects
            return objects
                .map { stored ->
                    StoredDocuments.decode(RefusalMinute.serializer(), stored.value).getOrElse { error("$it") }
                }.filter { it.host.text == entries[0].process.name }
                .flatMap { it.tallies }
                .groupBy { Kind(it.workspace?.text, Refused(it.reason.name.lowercase(), it.runState.name.lowercase())) }
                .mapValues { (_, tallies) -> tallies.sumOf { it.count } }
        }
    }

    /** Whom a refusal concerned and what it said. */
    data class Kind(
        val workspace: String?,
        val refused: Refused,
    )
}
