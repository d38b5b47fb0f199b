package tanagerlane.places

import tanagerlane.model.HostName
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Sums the requests that other processes have in flight, by target.
 *
 * The sums are updated with each report, so that the cost of reading one does not grow with the number of processes. A
 * report counts for [lifetime]. Not thread-safe.
 */
internal class ReportedLoads(
    private val lifetime: Duration,
) {
    /** Last report of each process, the oldest first. */
    private val reports = LinkedHashMap<HostName, Report>()
    private val sums = HashMap<TargetName, Sum>()

    /** Replaces what [host] has in flight by [loads], reported at [now]. */
    fun replace(
        host: HostName,
        loads: Map<TargetName, TargetLoad>,
        now: Instant,
    ) {
        remove(host)
        reports[host] = Report(loads, now)
        for ((target, load) in loads) {
            sums.getOrPut(target) { Sum() }.add(load, 1)
        }
    }

    /** Removes what [host] has in flight. */
    fun remove(host: HostName) {
        val report = reports.remove(host) ?: return
        for ((target, load) in report.loads) {
            val sum = sums.getValue(target)
            sum.add(load, -1)
            if (sum.reports == 0) {
                sums.remove(target)
            }
        }
    }

    /** Returns the sum of the requests in flight to [target]. */
    fun loadOf(
        target: TargetName,
        now: Instant,
    ): TargetLoad {
        expire(now)
        return sums[target]?.let { TargetLoad(it.online, it.batch) } ?: NO_LOAD
    }

    /** Returns the processes that run batch items at [target], with their number. */
    fun batchOf(
        target: TargetName,
        now: Instant,
    ): Map<HostName, Int> {
        expire(now)
        return reports.mapValues { it.value.loads[target]?.batch ?: 0 }.filterValues { it > 0 }
    }

    private fun expire(now: Instant) {
        while (true) {
            val (host, report) = reports.entries.firstOrNull() ?: return
            if (now - report.receivedAt <= lifetime) {
                return
            }
            remove(host)
        }
    }

    private class Report(
        val loads: Map<TargetName, TargetLoad>,
        val receivedAt: Instant,
    )

    private class Sum {
        var online = 0
        var batch = 0
        var reports = 0

        fun add(
            load: TargetLoad,
            sign: Int,
        ) {
            online += sign * load.online
            batch += sign * load.batch
            reports += sign
        }
    }

    private companion object {
        val NO_LOAD = TargetLoad(0, 0)
    }
}
