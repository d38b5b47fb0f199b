package tanagerlane.direct

import tanagerlane.standin.store.StoreFaults
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A pause of entries in which the targets are replaced by those of another version and the other entries are lost.
 *
 * @property time time for which the entries stand still
 * @property frozenEntries number of entries that stand still, of which the first one gets all take-ups
 * @property lead time from the loss of the other entries until the pause is over
 * @property isRunnerFrozen whether the runner stands still as well
 * @property isRunnerKilled whether the runner is lost with the other entries
 * @property areSocketsFull whether messages of other processes have filled the sockets, so that later ones are lost
 * @property faults faults of the object API since the loss of the other entries
 */
internal data class EntryPause(
    val time: Duration,
    val frozenEntries: Int = 1,
    val lead: Duration = 100.milliseconds,
    val isRunnerFrozen: Boolean = false,
    val isRunnerKilled: Boolean = false,
    val areSocketsFull: Boolean = false,
    val faults: StoreFaults = StoreFaults(),
)
