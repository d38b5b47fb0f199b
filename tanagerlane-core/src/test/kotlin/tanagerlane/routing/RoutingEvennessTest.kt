package tanagerlane.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Picks the target of a request at one entry. */
private typealias Pick = (entry: Int, now: Instant) -> TargetName

/** Compares the evenness of load at full size: 330 entries, 600 targets, 6000 requests a second of about 0.5 s. */
class RoutingEvennessTest :
    FunSpec({
        test("two choices by reported load are more even than random choice and round robin") {
            val figures =
                listOf(3, 10).map { reportsPerSecond ->
                    val subsets = List(ENTRIES) { SidecarSubset.of(HostName("entry-$it"), TARGETS, SIZE).toList() }
                    val figure =
                        Figure(
                            reportsPerSecond = reportsPerSecond,
                            random = peakOverMean(reportsPerSecond, pickRandomly(subsets)),
                            roundRobin = peakOverMean(reportsPerSecond, pickInTurn(subsets)),
                            twoChoices =
                                Balanced(
                                    subsets,
                                ).let { peakOverMean(reportsPerSecond, it::pick, it::finished, it::report) },
                        )
                    println("busiest target over mean, seed $SEED: $figure")
                    figure
                }
            figures.filter { it.twoChoices >= minOf(it.random, it.roundRobin) } shouldBe emptyList()
        }
    })

private data class Figure(
    val reportsPerSecond: Int,
    val random: Double,
    val roundRobin: Double,
    val twoChoices: Double,
)

private const val SEED = 11
private const val ENTRIES = 330
private const val REQUESTS_PER_SECOND = 6000
private const val SERVICE_SECONDS = 0.5
private const val SIZE = 20
private val LASTING = 4.seconds
private val WARM_UP = 1.seconds
private val START = Instant.fromEpochSeconds(1_000_000)
private val TARGETS = fleet(targets = 600)
private val CALL = RouteQuery.Call(ServiceName("service"))

private class Ending(
    val at: Instant,
    val entry: Int,
    val target: TargetName,
)

private fun pickRandomly(subsets: List<List<TargetName>>): Pick {
    val random = Random(SEED)
    return { entry, _ -> subsets[entry].random(random) }
}

private fun pickInTurn(subsets: List<List<TargetName>>): Pick {
    val turns = IntArray(ENTRIES)
    return { entry, _ -> subsets[entry].let { it[turns[entry]++ % it.size] } }
}

/** Routers of all entries, told of loads by reports that age. */
private class Balanced(
    subsets: List<List<TargetName>>,
) {
    private val directories =
        subsets.map { subset ->
            SidecarDirectory().apply {
                declare(TARGETS.filter { it.name in subset })
                subset.forEach { connected(it, Incarnation(1)) }
            }
        }
    private val routers =
        directories.mapIndexed { entry, directory ->
            Router(directory, FailureDomain("domain-${entry % 4}"), Random(SEED + entry))
        }

    fun pick(
        entry: Int,
        now: Instant,
    ): TargetName = checkNotNull(routers[entry].route(CALL, now)).target

    fun finished(
        entry: Int,
        target: TargetName,
    ) = routers[entry].finished(target)

    fun report(
        loads: Map<TargetName, Int>,
        now: Instant,
    ) = TARGETS.forEach { target ->
        val report = report(target, running = loads[target.name] ?: 0)
        directories.forEach { it.reported(report, now) }
    }
}

/** Mean over time of the busiest target's requests in flight over the mean of all targets. */
private fun peakOverMean(
    reportsPerSecond: Int,
    pick: Pick,
    finished: (Int, TargetName) -> Unit = { _, _ -> },
    report: (Map<TargetName, Int>, Instant) -> Unit = { _, _ -> },
): Double {
    val random = Random(SEED)
    val loads = HashMap<TargetName, Int>()
    val endings = PriorityQueue<Ending>(compareBy { it.at })
    val samples = ArrayList<Double>()
    var now = START
    var reportAt = START
    while (now < START + LASTING) {
        if (now >= reportAt) {
            report(loads, now)
            reportAt += 1.seconds / reportsPerSecond
            if (now >= START + WARM_UP) samples += loads.values.max() / (loads.values.sum().toDouble() / TARGETS.size)
        }
        val entry = random.nextInt(ENTRIES)
        val target = pick(entry, now)
        loads.merge(target, 1, Int::plus)
        endings += Ending(now + exponential(random, SERVICE_SECONDS).seconds, entry, target)
        now += exponential(random, 1.0 / REQUESTS_PER_SECOND).seconds
        while (endings.isNotEmpty() && endings.peek().at <= now) {
            val ending = endings.poll()
            loads.merge(ending.target, -1, Int::plus)
            finished(ending.entry, ending.target)
        }
    }
    return samples.average()
}

private fun exponential(
    random: Random,
    mean: Double,
): Double = -ln(1.0 - random.nextDouble()) * mean
