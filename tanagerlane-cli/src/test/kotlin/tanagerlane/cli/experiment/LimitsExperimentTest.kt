package tanagerlane.cli.experiment

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class LimitsExperimentTest :
    FunSpec({
        val report = limitsExperiment(seed = 1)
        val shared = report.rows.filter { it.mechanism == "shared" }

        test("shared limits are never overrun, independent ones are") {
            withClue(report.table()) {
                shared.filter { it.worstOverrun > 1e-6 }.shouldBeEmpty()
                report.rows.filter { it.mechanism == "independent" }.maxOf { it.worstOverrun } shouldBeGreaterThan
                    1_000.0
            }
        }

        test("shared limits refuse few requests within the rate") {
            val bounds =
                mapOf(
                    "equal arrivals" to 0.005,
                    "arrivals 3:2:1" to 0.005,
                    "arrivals 1:0:0" to 0.005,
                    "one workspace at five times" to 0.005,
                    "3:2:1, store outage" to 0.005,
                    "3:2:1, entry killed" to 0.03,
                    "3:2:1, outage and entry killed" to 0.2,
                )
            withClue(report.table()) {
                shared.map { it.scenario } shouldBe bounds.keys.toList()
                shared.filter { it.wrongPart > bounds.getValue(it.scenario) }.shouldBeEmpty()
            }
        }
    })
