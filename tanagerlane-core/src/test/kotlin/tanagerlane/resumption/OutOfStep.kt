package tanagerlane.resumption

import tanagerlane.message.HostRole
import kotlin.random.Random

/** How a group of processes gets out of step with the store. */
internal enum class GroupTrouble {
    /** A failure domain loses the store and all other processes. */
    DOMAIN_CUT_OFF,

    /** A failure domain loses the store only. */
    DOMAIN_STALE,

    /** Two to half of the entries stand still, and read what was sent meanwhile when they go on. */
    ENTRIES_FROZEN,

    /** Up to half of the entries lose the store and receive nothing from the other processes, which hear them. */
    ENTRIES_DEAF,

    /** Up to half of the entries lose the store and half of the other processes. */
    ENTRIES_HALF_CUT_OFF,

    /** All runners lose the store and all entries. */
    RUNNERS_CUT_OFF,
}

/**
 * Processes that are out of step for a while.
 *
 * @property members processes that lose the store
 * @param lost processes that they lose besides
 */
internal class OutOfStep(
    private val trouble: GroupTrouble,
    val members: Set<SimulatedProcess>,
    private val lost: Set<SimulatedProcess>,
) {
    val areFrozen: Boolean get() = trouble == GroupTrouble.ENTRIES_FROZEN

    /** Returns whether messages of [from] to [to] are lost. */
    fun severs(
        from: SimulatedProcess,
        to: SimulatedProcess,
    ): Boolean =
        (from in lost && to in members) || (trouble != GroupTrouble.ENTRIES_DEAF && from in members && to in lost)

    companion object {
        private const val HALF = 2
        private const val MINIMUM_FROZEN = 2

        /** Draws a group of the running [processes]. */
        fun draw(
            trouble: GroupTrouble,
            processes: List<SimulatedProcess>,
            random: Random,
        ): OutOfStep {
            val entries = processes.filter { it.role == HostRole.ENTRY }.shuffled(random)
            val domain = processes.random(random).domain
            val members =
                when (trouble) {
                    GroupTrouble.DOMAIN_CUT_OFF, GroupTrouble.DOMAIN_STALE -> processes.filter { it.domain == domain }
                    GroupTrouble.RUNNERS_CUT_OFF -> processes.filter { it.role == HostRole.BATCH }
                    else -> entries.take(random.nextInt(minOf(MINIMUM_FROZEN, entries.size), entries.size / HALF + 2))
                }.toSet()
            val others = processes - members
            val lost =
                when (trouble) {
                    GroupTrouble.DOMAIN_STALE, GroupTrouble.ENTRIES_FROZEN -> emptyList()
                    GroupTrouble.ENTRIES_HALF_CUT_OFF -> others.shuffled(random).take(others.size / HALF)
                    else -> others
                }
            return OutOfStep(trouble, members, lost.toSet())
        }
    }
}
