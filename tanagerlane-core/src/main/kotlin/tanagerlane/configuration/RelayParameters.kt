package tanagerlane.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times that govern how configurations spread.
 *
 * @property maximumEvidenceAge age of evidence up to which a process serves
 * @property evidenceThreshold least gain in age of evidence that is announced
 * @property failureThreshold least gain in age of a store failure that is announced
 * @property askThreshold least gain in age for which a neighbour is asked
 * @property heartbeat longest time between two announcements to a neighbour
 * @property askTimeout time after which another neighbour is asked
 * @property storeProbeAge age of evidence at which a process that is no watcher calls the store
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
