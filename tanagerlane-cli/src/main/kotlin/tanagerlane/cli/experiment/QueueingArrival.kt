package tanagerlane.cli.experiment

import tanagerlane.model.WorkspaceName
import kotlin.time.Duration

/** A request of an experiment, [at] a time after its begin. */
internal data class QueueingArrival(
    val at: Duration,
    val workspace: WorkspaceName,
    val prompt: List<String>,
    val tokens: Int,
)
