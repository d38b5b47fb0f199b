package tanagerlane.places

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.TargetName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ReportedLoadsTest :
    FunSpec({
        (1..20).forEach { seed ->
            test("the sums are those of the reports that have not expired: seed $seed") {
                val random = Random(seed)
                val loads = ReportedLoads(LIFETIME)
                val reports = HashMap<HostName, Pair<Instant, Map<TargetName, TargetLoad>>>()
                var now = Instant.fromEpochSeconds(0)
                repeat(400) {
                    now += random.nextInt(100).milliseconds
                    val host = HostName("host-${random.nextInt(12)}")
                    if (random.nextInt(10) == 0) {
                        loads.remove(host)
                        reports.remove(host)
                    } else {
                        val reported =
                            targets.filter { random.nextBoolean() }.associateWith {
                                TargetLoad(random.nextInt(4), random.nextInt(4))
                            }
                        loads.replace(host, reported, now)
                        reports[host] = now to reported
                    }
                    val valid = reports.filterValues { (at, _) -> now - at <= LIFETIME }.mapValues { it.value.second }
                    targets.forEach { target ->
                        val expected = valid.values.mapNotNull { it[target] }
                        loads.loadOf(target, now) shouldBe
                            TargetLoad(expected.sumOf { it.online }, expected.sumOf { it.batch })
                        loads.batchOf(target, now) shouldBe
                            valid.mapValues { it.value[target]?.batch ?: 0 }.filterValues { it > 0 }
                    }
                }
            }
        }
    }) {
    private companion object {
        val LIFETIME = 1.seconds
        val targets = List(5) { TargetName("target-$it") }
    }
}
