package tanagerlane.cli.experiment

import tanagerlane.limits.Limit
import tanagerlane.limits.Rate
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.WorkspaceName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val ENTRIES = 3
private val SETTLED_AFTER = 30.seconds
private val FAILS_AFTER = 60.seconds
private val ENDS_AFTER = 180.seconds
private val NOTICED_AFTER = 2.seconds
private val TO_SIDECAR = 1.milliseconds

private val SCENARIOS =
    listOf(
        LimitsScenario("equal arrivals", listOf(1, 1, 1)),
        LimitsScenario("arrivals 3:2:1", listOf(3, 2, 1)),
        LimitsScenario("arrivals 1:0:0", listOf(1, 0, 0)),
        LimitsScenario("one workspace at five times", listOf(1, 1, 1), greedyLoad = 5.0),
        LimitsScenario("3:2:1, store outage", listOf(3, 2, 1), storeFails = true),
        LimitsScenario("3:2:1, entry killed", listOf(3, 2, 1), entryFails = true),
        LimitsScenario("3:2:1, outage and entry killed", listOf(3, 2, 1), storeFails = true, entryFails = true),
    )

/**
 * Measures refusals of requests within their rate, and overruns, for rates counted together, split and independent.
 *
 * Eight workspaces, two of them large, send to three entries in virtual time. Arrivals are random and the same for
 * all mechanisms.
 */
public fun limitsExperiment(seed: Int): LimitsReport {
    val mechanisms =
        listOf(
            sharedLimits(),
            localLimits("split") { entries -> 1.0 / entries },
            localLimits("independent") { 1.0 },
        )
    val rows = SCENARIOS.flatMap { scenario -> mechanisms.map { LimitsRun(scenario, it, seed).run() } }
    return LimitsReport(seed, rows)
}

/** One mechanism in one scenario. */
private class LimitsRun(
    private val scenario: LimitsScenario,
    private val mechanism: LimitsMechanism,
    seed: Int,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val fleet = ExperimentFleet(time, ENTRIES, workspaces())
    private val decide = mechanism.start(fleet)
    private val single =
        fleet.limits.associateWith {
            SimpleBucket(
                it.rate.perSecond,
                it.rate.burst.toDouble(),
                time.now,
            )
        }
    private val gauges = fleet.limits.associateWith { OverrunGauge(it.rate.perSecond, it.rate.burst.toDouble()) }
    private val modest = RequestCount()
    private val greedy = RequestCount()

    fun run(): LimitsRow {
        fleet.limits.forEachIndexed { index, limit -> time.after(SETTLED_AFTER) { arrive(limit, loadOf(index)) } }
        time.after(FAILS_AFTER, ::fail)
        time.runUntil(Instant.fromEpochSeconds(0) + ENDS_AFTER)
        return LimitsRow(
            scenario = scenario.name,
            mechanism = mechanism.name,
            requests = modest.requests,
            within = modest.within,
            wronglyRefused = modest.wronglyRefused,
            greedyShare = if (greedy.within > 0) greedy.admitted.toDouble() / greedy.within else null,
            worstOverrun = gauges.values.maxOf { it.worst },
        )
    }

    private fun loadOf(workspace: Int): Double = if (workspace == 0) scenario.greedyLoad else scenario.load

    private fun arrive(
        limit: Limit,
        load: Double,
    ) {
        request(limit, if (load > 1.0) greedy else modest)
        time.after(interval(limit.rate.perSecond * load)) { arrive(limit, load) }
    }

    private fun interval(perSecond: Double): Duration = (-ln(1.0 - random.nextDouble()) / perSecond).seconds

    private fun request(
        limit: Limit,
        count: RequestCount,
    ) {
        val isWithin = single.getValue(limit).take(time.now)
        count.requests += 1
        count.within += if (isWithin) 1 else 0
        decide(chooseEntry(), limit) { isAdmitted ->
            if (isAdmitted) {
                count.admitted += 1
                time.after(TO_SIDECAR) { gauges.getValue(limit).arrived(time.now) }
            } else if (isWithin) {
                count.wronglyRefused += 1
            }
        }
    }

    /** The balancer sends nothing to an entry that was killed. */
    private fun chooseEntry(): Int {
        val choices = scenario.weights.flatMapIndexed { entry, weight -> List(weight) { entry } }
        val draw = random.nextInt(choices.size)
        val alive = choices.filter { it in fleet.alive }
        return alive[draw % alive.size]
    }

    private fun fail() {
        fleet.isStoreDown = scenario.storeFails
        if (scenario.entryFails) {
            fleet.alive -= ENTRIES - 1
            time.after(NOTICED_AFTER) { fleet.visible -= ENTRIES - 1 }
        }
    }
}

private class RequestCount {
    var requests = 0
    var within = 0
    var admitted = 0
    var wronglyRefused = 0
}

private fun workspaces(): List<Limit> {
    val rates = List(2) { Rate(perSecond = 100.0, burst = 50) } + List(6) { Rate(perSecond = 10.0, burst = 10) }
    return rates.mapIndexed { index, rate -> Limit(WorkspaceLimit(WorkspaceName("workspace-$index")), rate) }
}
