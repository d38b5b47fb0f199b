package tanagerlane.pace

import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.routing.RendezvousHash
import kotlin.time.Instant

/**
 * Divides a number of requests among the processes, by target, without any exchange between them.
 *
 * Each process computes its own share from the registered processes. One more process never increases the share of
 * another, so the shares of all running processes stay within the whole as long as each knows the others or more.
 * Runners get one part in [PaceSettings.runnerDivisor], entries the rest. Not thread-safe.
 */
internal class ProcessShares(
    private val own: PacedProcess,
    private val settings: PaceSettings,
) {
    private val seenAt = HashMap<PacedProcess, Instant>().apply { put(own, Instant.DISTANT_FUTURE) }
    private var listed = emptySet<PacedProcess>()
    private val rankings = HashMap<TargetName, Ranking>()
    private val listedRankings = HashMap<TargetName, Ranking>()

    /** Replaces the registered processes; one that is missing keeps its share for a while. */
    fun configure(
        registered: Collection<PacedProcess>,
        now: Instant,
    ) {
        val before = seenAt.keys.toSet()
        registered.forEach { if (it != own) seenAt[it] = now }
        seenAt.values.removeIf { now - it > settings.memberRetention }
        if (seenAt.keys != before) {
            rankings.clear()
        }
        if (registered.size != listed.size || !listed.containsAll(registered)) {
            listed = registered.toSet()
            listedRankings.clear()
        }
    }

    /** Discards what is kept of targets other than [targets]. */
    fun retainTargets(targets: Collection<DirectTarget>) {
        if (rankings.size > targets.size) {
            val names = targets.mapTo(HashSet()) { it.name }
            rankings.keys.retainAll(names)
            listedRankings.keys.retainAll(names)
        }
    }

    /** Returns the share of this process in [whole] requests to [target], divided among all that may be running. */
    fun ownShare(
        whole: Int,
        target: TargetName,
    ): Int = ownShare(whole, ranking(target))

    /** Returns the share of this process in [whole] requests to [target], divided among those that are registered. */
    fun ownListedShare(
        whole: Int,
        target: TargetName,
    ): Int = ownShare(whole, listedRanking(target))

    /**
     * Returns the turn of this process, from 0, where registered processes send to [target] one after the other.
     *
     * Entries have all turns; runners share every other one with them, as entries may have no requests for a while.
     */
    fun ownTurn(target: TargetName): Int {
        val ranking = listedRanking(target)
        return if (own.isRunner && ranking.entries.isNotEmpty()) (ranking.ownIndex + 1) * 2 else ranking.ownIndex
    }

    private fun ownShare(
        whole: Int,
        ranking: Ranking,
    ): Int {
        val ofRunners =
            when {
                ranking.entries.isEmpty() -> whole
                ranking.runners.isEmpty() -> 0
                else -> whole / settings.runnerDivisor
            }
        val part = if (own.isRunner) ofRunners else whole - ofRunners
        val members = if (own.isRunner) ranking.runners.size else ranking.entries.size
        return part / members + if (ranking.ownIndex < part % members) 1 else 0
    }

    private fun ranking(target: TargetName): Ranking = rankings.getOrPut(target) { ranked(target, seenAt.keys) }

    private fun listedRanking(target: TargetName): Ranking =
        listedRankings.getOrPut(target) { ranked(target, listed + own) }

    private fun ranked(
        target: TargetName,
        processes: Collection<PacedProcess>,
    ): Ranking {
        val (runners, entries) =
            RendezvousHash.ranked(target.text, processes) { it.host.text }.partition { it.isRunner }
        return Ranking(entries, runners, ownIndex = (if (own.isRunner) runners else entries).indexOf(own))
    }

    /** Processes in the order in which they send to a target, and the place of this one among those of its role. */
    private class Ranking(
        val entries: List<PacedProcess>,
        val runners: List<PacedProcess>,
        val ownIndex: Int,
    )
}
