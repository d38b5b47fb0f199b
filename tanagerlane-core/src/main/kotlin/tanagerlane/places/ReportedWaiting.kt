package tanagerlane.places

import tanagerlane.message.WaitingCount
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Requests that wait in other processes for a place, by service.
 *
 * A report counts for [lifetime]. Not thread-safe.
 */
internal class ReportedWaiting(
    private val lifetime: Duration,
) {
    private val reports = HashMap<HostName, Report>()

    /** Replaces what waits in [host] by [counts], reported at [now]. */
    fun replace(
        host: HostName,
        counts: List<WaitingCount>,
        now: Instant,
    ) {
        if (counts.isEmpty()) {
            reports.remove(host)
        } else {
            reports[host] = Report(counts.associate { it.service to it.requests.coerceAtLeast(0) }, now)
        }
    }

    /** Removes what waits in [host]. */
    fun remove(host: HostName) {
        reports.remove(host)
    }

    /** Returns how many requests wait for a place at a target of [service]. */
    fun of(
        service: ServiceName,
        now: Instant,
    ): Int {
        if (reports.isEmpty()) {
            return 0
        }
        reports.values.removeIf { now - it.receivedAt > lifetime }
        return reports.values
            .sumOf { it.counts[service]?.toLong() ?: 0L }
            .coerceAtMost(Int.MAX_VALUE.toLong())
            .toInt()
    }

    private class Report(
        val counts: Map<ServiceName, Int>,
        val receivedAt: Instant,
    )
}
