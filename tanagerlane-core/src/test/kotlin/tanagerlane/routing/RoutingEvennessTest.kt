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

/** Selects the target of a request at one entry. */
private typealias TargetChoice = (entry: Int, now: Instant) -> TargetName

/** Compares the evenness of load at full size: 330 entries, 600 targets, 6000 requests per second of about 0.5 s. */
class RoutingEvennessTest :
    FunSpec({
        test("two choices by reported load spread load more evenly than random choice and round robin") {
            val results =
                listOf(3, 10).map { reportsPerSecond ->
                    val subsets =
                        List(ENTRIES) { SidecarSubset.of(HostName("entry-$it"), TARGETS, SUBSET_SIZE).toList() }
                    val result =
                        PeakLoads(
                            reportsPerSecond = reportsPerSecond,
                            random = peakOverMean(reportsPerSecond, chooseRandomly(subsets)),
                            roundRobin = peakOverMean(reportsPerSecond, chooseRoundRobin(subsets)),
                            twoChoices =
                                TwoChoices(
                                    subsets,
                                ).let { peakOverMean(reportsPerSecond, it::pick, it::finished, it::report) },
                        )
                    println("load of the busiest target over the mean load, seed $SEED: $result")
                    result
                }
            results.filter { it.twoChoices >= minOf(it.random, it.roundRobin) } shouldBe emptyList()
        }
    })

private data class PeakLoads(
    val reportsPerSecond: Int,
    val random: Double,
    val roundRobin: Double,
    val twoChoices: Double,
)

private const val SEED = 11
private const val ENTRIES = 330
private const val REQUESTS_PER_SECOND = 6000
private const val MEAN_SERVICE_SECONDS = 0.5
private const val SUBSET_SIZE = 20
private val SIMULATED_TIME = 4.seconds
private val WARM_UP = 1.seconds
private val START = Instant.fromEpochSeconds(1_000_000)
private val TARGETS = fleet(targets = 600)
private val CALL = RouteQuery.Call(ServiceName("service"))

private class Ending(
    val at: Instant,
    val entry: Int,
    val target: TargetName,
)

private fun chooseRandomly(subsets: List<List<TargetName>>): TargetChoice {
    val random = Random(SEED)
    return { entry, _ -> subsets[entry].random(random) }
}

private fun chooseRoundRobin(subsets: List<List<TargetName>>): TargetChoice {
    val nextIndexes = IntArray(ENTRIES)
    return { entry, _ -> subsets[entry].let { it[nextIndexes[entry]++ % it.size] } }
}

/** The routers of all entries, which know loads only from periodic reports. */
private class TwoChoices(
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

/** Returns the mean over time of the busiest target's requests in flight, relative to the mean of all targets. */
private fun peakOverMean(
    reportsPerSecond: Int,
    pick: TargetChoice,
    finished: (Int, TargetName) -> Unit = { _, _ -> },
    report: (Map<TargetName, Int>, Instant) -> Unit = { _, _ -> },
): Double {
    val random = Random(SEED)
    val loads = HashMap<TargetName, Int>()
    val endings = PriorityQueue<Ending>(compareBy { it.at })
    val samples = ArrayList<Double>()
    var now = START
    var reportAt = START
    while (now < START + SIMULATED_TIME) {
        if (now >= reportAt) {
            report(loads, now)
            reportAt += 1.seconds / reportsPerSecond
            if (now >= START + WARM_UP) samples += loads.values.max() / (loads.values.sum().toDouble() / TARGETS.size)
        }
        val entry = random.nextInt(ENTRIES)
        val target = pick(entry, now)
        loads.merge(target, 1, Int::plus)
        endings += Ending(now + exponential(random, MEAN_SERVICE_SECONDS).seconds, entry, target)
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
