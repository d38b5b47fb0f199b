package tanagerlane.cli.experiment

import tanagerlane.limits.Limit

/**
 * The fleet that a mechanism works in.
 *
 * @property limits rates of all workspaces
 */
internal class ExperimentFleet(
    val time: VirtualTime,
    val entries: Int,
    val limits: List<Limit>,
) {
    /** Whether the object API is down. */
    var isStoreDown: Boolean = false

    /** Entries that run. */
    val alive: MutableSet<Int> = (0 until entries).toMutableSet()

    /** Entries that the others believe to run. */
    val visible: MutableSet<Int> = (0 until entries).toMutableSet()
}
