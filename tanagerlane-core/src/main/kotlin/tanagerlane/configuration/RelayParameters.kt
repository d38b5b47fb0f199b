package tanagerlane.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times that govern how configurations spread.
 *
 * @property maximumEvidenceAge greatest age of the evidence on which a process serves
 * @property evidenceThreshold least gain in age of evidence that is announced to neighbours
 * @property failureThreshold least gain in age of a failure to reach the store that is announced to neighbours
 * @property askThreshold least gain for which a neighbour is asked
 * @property heartbeat longest time between two announcements to a neighbour
 * @property askTimeout time after which another neighbour is asked
 * @property storeProbeAge age of evidence at which a process that is no watcher tries the store itself
 * @property keptChanges changes that are kept for neighbours that lag
 */
public data class RelayParameters(
    val maximumEvidenceAge: Duration = 5.seconds,
    val evidenceThreshold: Duration = 1.seconds,
    val failureThreshold: Duration = 2.seconds,
    val askThreshold: Duration = 500.milliseconds,
    val heartbeat: Duration = 2.seconds,
    val askTimeout: Duration = 500.milliseconds,
    val storeProbeAge: Duration = 3.seconds,
    val keptChanges: Int = 32,
)
