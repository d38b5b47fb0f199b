package tanagerlane.pace

import tanagerlane.model.HostName
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
    private val rankings = HashMap<TargetName, Ranking>()

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
    }

    /** Whether this process runs batch items only. */
    val isRunner: Boolean get() = own.isRunner

    /** Discards what is kept of targets other than [targets]. */
    fun retainTargets(targets: Collection<DirectTarget>) {
        if (rankings.size > targets.size) {
            rankings.keys.retainAll(targets.mapTo(HashSet()) { it.name })
        }
    }

    /** Returns the share of this process in [whole] requests to [target], divided among the processes in [among]. */
    fun ownShare(
        whole: Int,
        target: TargetName,
        among: (HostName) -> Boolean = { true },
    ): Int {
        val ranking = ranking(target)
        val entries = ranking.entries.count { it == own.host || among(it) }
        val runners = ranking.runners.count { it == own.host || among(it) }
        val ofRunners =
            when {
                entries == 0 -> whole
                runners == 0 -> 0
                else -> whole / settings.runnerDivisor
            }
        val part = if (own.isRunner) ofRunners else whole - ofRunners
        val members = if (own.isRunner) runners else entries
        return part / members + if (ownRank(target, among) < part % members) 1 else 0
    }

    /** Returns how many of the processes in [among] of the own role come before this one at [target]. */
    fun ownRank(
        target: TargetName,
        among: (HostName) -> Boolean,
    ): Int {
        val ranking = ranking(target)
        val ranked = if (own.isRunner) ranking.runners else ranking.entries
        var rank = 0
        for (host in ranked) {
            if (host == own.host) return rank
            if (among(host)) rank++
        }
        return rank
    }

    /** Whether there is an entry among the processes in [among], or this process is one. */
    fun hasEntry(among: (HostName) -> Boolean): Boolean =
        !own.isRunner || seenAt.keys.any { !it.isRunner && among(it.host) }

    private fun ranking(target: TargetName): Ranking =
        rankings.getOrPut(target) {
            val (runners, entries) =
                RendezvousHash.ranked(target.text, seenAt.keys) { it.host.text }.partition { it.isRunner }
            Ranking(entries.map { it.host }, runners.map { it.host })
        }

    /** Processes in the order in which they send to a target. */
    private class Ranking(
        val entries: List<HostName>,
        val runners: List<HostName>,
    )
}
