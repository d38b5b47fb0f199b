package tanagerlane.cli.experiment

import tanagerlane.model.RequestClass
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration

/** Counts during one run of an experiment. */
internal class QueueingTally {
    private val latencies = HashMap<WorkspaceName, MutableList<Duration>>()
    var offered = 0
    var refused = 0
    var preemptions = 0
    var batchItems = 0
    private val onlineTokens = HashMap<WorkspaceName, Int>()
    private var batchTokens = 0

    fun count(
        requestClass: RequestClass,
        workspace: WorkspaceName,
    ) {
        when (requestClass) {
            RequestClass.ONLINE -> onlineTokens.merge(workspace, 1, Int::plus)
            RequestClass.BATCH -> batchTokens += 1
        }
    }

    fun firstToken(
        workspace: WorkspaceName,
        latency: Duration,
    ) {
        latencies.getOrPut(workspace) { ArrayList() }.add(latency)
    }

    fun outcome(length: Duration): QueueingOutcome =
        QueueingOutcome(
            length = length,
            latencies = latencies.toMap(),
            refused = refused,
            onlineTokens = onlineTokens.toMap(),
            batchItems = batchItems,
            batchTokens = batchTokens,
            preemptions = preemptions,
        )
}
