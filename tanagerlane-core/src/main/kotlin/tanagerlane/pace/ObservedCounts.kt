package tanagerlane.pace

import tanagerlane.message.PaceCounts
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The counts that other processes have reported, from which follows what is new in a report.
 *
 * Counts only rise, so lost, late and repeated reports do no harm. Not thread-safe.
 */
internal class ObservedCounts {
    private val processes = HashMap<HostName, Process>()

    /** Discards the counts of [host]. */
    fun forget(host: HostName) {
        processes.remove(host)
    }

    /** Discards the counts of targets other than [targets]. */
    fun retainTargets(targets: Set<TargetName>) {
        processes.values.forEach {
            it.counts.keys.retainAll(targets)
            it.failedAt.keys.retainAll(targets)
        }
    }

    /**
     * Returns what [report] adds to the earlier ones of its sender.
     *
     * The first report of a process adds nothing, since it is not known when its counts arose.
     */
    fun received(
        report: PlaceReport,
        now: Instant,
    ): List<PaceChange> {
        val last = processes[report.host]?.takeIf { it.incarnation == report.incarnation }
        val process = last ?: Process(report.incarnation).also { processes[report.host] = it }
        return report.paces.mapNotNull { counts ->
            val before = process.counts.put(counts.target, counts)
            if (last == null) {
                PaceChange(counts.target, 0, 0, 0, counts.window, isFirst = true)
            } else {
                changeOf(before, counts)?.also { if (it.failed > 0) process.failedAt[counts.target] = now }
            }
        }
    }

    /**
     * Whether [host] has lately failed at so many of [targets] targets, so that the cause is probably at the host.
     */
    fun isSuspect(
        host: HostName,
        targets: Int,
        now: Instant,
    ): Boolean {
        val failedAt = processes[host]?.failedAt ?: return false
        failedAt.values.removeIf { now - it > SUSPECT_TIME }
        return targets > 1 && failedAt.size * SUSPECT_DIVISOR > targets
    }

    private fun changeOf(
        before: PaceCounts?,
        counts: PaceCounts,
    ): PaceChange? {
        val inTime = (counts.inTime - (before?.inTime ?: 0)).coerceIn(0, MAXIMUM_CHANGE)
        val late = (counts.late - (before?.late ?: 0)).coerceIn(0, MAXIMUM_CHANGE)
        val failed = (counts.failed - (before?.failed ?: 0)).coerceIn(0, MAXIMUM_CHANGE)
        return if (inTime + late + failed ==
            0L
        ) {
            null
        } else {
            PaceChange(counts.target, inTime, late, failed, counts.window)
        }
    }

    private class Process(
        val incarnation: Incarnation,
    ) {
        val counts = HashMap<TargetName, PaceCounts>()
        val failedAt = HashMap<TargetName, Instant>()
    }

    private companion object {
        /** Largest change that is believed, so that a malformed report does not overflow sums. */
        const val MAXIMUM_CHANGE = 1_000_000L

        /** A process that fails at more than one in this many targets is suspect; a failure domain has fewer of them. */
        const val SUSPECT_DIVISOR = 3

        /** Time for which a failure counts towards the suspicion against the process that reports it. */
        val SUSPECT_TIME = 3.seconds
    }
}
