package tanagerlane.cli.experiment

import tanagerlane.model.WorkspaceName
import kotlin.time.Duration

/**
 * Measures what batch does to online requests and what one greedy workspace does to the others.
 *
 * @param base settings of every run
 */
internal fun queueingExperiment(
    seed: Long,
    base: QueueingScenario = QueueingScenario(),
): QueueingReport {
    val mixed = base.copy(online = mixedArrivals(seed, base.length))
    val greedy = base.copy(online = greedyArrivals(seed, base.length))
    val batchOnly = QueueingRun(withBatch(seed, base)).run()
    return QueueingReport(
        seed = seed,
        online = QueueingRun(mixed).run(),
        yielding = QueueingRun(withBatch(seed, mixed)).run(),
        direct = QueueingRun(withBatch(seed, mixed).copy(yielding = false)).run(),
        batchOnly = batchOnly,
        fair = QueueingRun(greedy).run(),
        firstComeFirstServed = QueueingRun(greedy.copy(fair = false)).run(),
        greedy = workspace(0),
        entitlement = entitlement(greedy.online, batchOnly.batchTokens.toDouble()),
    )
}

private fun withBatch(
    seed: Long,
    scenario: QueueingScenario,
): QueueingScenario {
    val traffic = QueueingTraffic(seed + 1)
    return scenario.copy(batch = { traffic.arrival(Duration.ZERO, WorkspaceName("captions")) })
}

/** Two large workspaces and six small ones; every other one sends its requests in bursts. */
private fun mixedArrivals(
    seed: Long,
    length: Duration,
): List<QueueingArrival> {
    val traffic = QueueingTraffic(seed)
    return List(WORKSPACES) { place ->
        val rate = if (place < LARGE_WORKSPACES) LARGE_RATE else SMALL_RATE
        traffic.arrivals(workspace(place), rate, if (place % 2 == 0) 1 else BURST, length)
    }.flatten().sortedBy { it.at }
}

/** Workspaces of one rate that together ask for most of the engine, and the first of them for five times that. */
private fun greedyArrivals(
    seed: Long,
    length: Duration,
): List<QueueingArrival> {
    val traffic = QueueingTraffic(seed)
    return List(WORKSPACES) { place ->
        traffic.arrivals(workspace(place), if (place == 0) GREED * EVEN_RATE else EVEN_RATE, 1, length)
    }.flatten().sortedBy { it.at }
}

/** Divides [capacity] evenly, gives nobody more than it asked for, and divides what is left again. */
private fun entitlement(
    arrivals: List<QueueingArrival>,
    capacity: Double,
): Map<WorkspaceName, Double> {
    val demand = arrivals.groupBy { it.workspace }.mapValues { (_, own) -> own.sumOf { it.tokens }.toDouble() }
    var left = capacity
    var others = demand.size
    return demand.entries.sortedBy { it.value }.associate { (workspace, asked) ->
        val granted = minOf(asked, left / others)
        left -= granted
        others -= 1
        workspace to granted
    }
}

private fun workspace(place: Int) = WorkspaceName("workspace-$place")

private const val WORKSPACES = 8
private const val LARGE_WORKSPACES = 2
private const val BURST = 4
private const val GREED = 5

/** Requests a second. */
private const val LARGE_RATE = 0.6
private const val SMALL_RATE = 0.1
private const val EVEN_RATE = 0.75
