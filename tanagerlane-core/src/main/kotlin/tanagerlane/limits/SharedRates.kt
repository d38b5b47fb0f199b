package tanagerlane.limits

import tanagerlane.message.WorkspaceAdmissions
import tanagerlane.model.HostName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Keeps the rates of workspaces across entries that tell each other how much they have admitted.
 *
 * Every entry charges all admissions that it hears of to a bucket of its own, so an entry may use the whole rate
 * while the others are idle. Entries that are not heard are taken to use their even share of the rate, and use no
 * more themselves once they hear nobody; so the sum stays within the rate while entries are cut from each other.
 * Safe for use by several threads.
 */
public class SharedRates {
    private val lock = Any()
    private var rates: Map<WorkspaceName, Rate> = emptyMap()
    private val buckets = HashMap<WorkspaceName, Bucket>()
    private val admitted = HashMap<WorkspaceName, Admitted>()
    private val heard = HashMap<HostName, Map<WorkspaceName, Long>>()

    /** Puts [rates] in force; a workspace that has none is not limited. */
    public fun configure(
        rates: Map<WorkspaceName, Rate>,
        now: Instant,
    ) {
        synchronized(lock) {
            this.rates = rates
            buckets.keys.retainAll(rates.keys)
            rates.keys.forEach { workspace -> buckets.getOrPut(workspace) { Bucket(refilledAt = now) } }
        }
    }

    /**
     * Admits one request of [workspace], or returns the time after which one may be admitted.
     *
     * @return null when the request is admitted
     */
    public fun admit(
        workspace: WorkspaceName,
        fleet: EntryFleet,
        now: Instant,
    ): Duration? =
        synchronized(lock) {
            val rate = rates[workspace] ?: return null
            val bucket = buckets.getValue(workspace)
            bucket.open(rate, fleet)
            bucket.refill(rate, fleet, now)
            if (bucket.level >= 1.0) {
                bucket.level -= 1.0
                admitted[workspace] = Admitted((admitted[workspace]?.count ?: 0) + 1, now)
                return null
            }
            val perSecond = rate.perSecond * fleet.share
            if (perSecond <= 0.0) LONGEST_WAIT else minOf(((1.0 - bucket.level) / perSecond).seconds, LONGEST_WAIT)
        }

    /**
     * Returns what this entry has admitted since its start, of workspaces that were active lately.
     *
     * Others need not be told again: entries that missed all of [REPORT_TIME] took this one to use its share.
     */
    public fun report(now: Instant): List<WorkspaceAdmissions> =
        synchronized(lock) {
            admitted.filterValues { now - it.lastAt <= REPORT_TIME }.map { WorkspaceAdmissions(it.key, it.value.count) }
        }

    /**
     * Charges what [host] has admitted since its last report.
     *
     * What it had admitted before this entry first heard of it is not charged: this entry opens each bucket with its
     * even part of the burst only, which leaves the rest to the others.
     *
     * @param isNew whether [host] has started since this entry did, so that all that it has admitted is charged
     */
    public fun received(
        host: HostName,
        admissions: List<WorkspaceAdmissions>,
        isNew: Boolean,
        fleet: EntryFleet,
        now: Instant,
    ) {
        synchronized(lock) {
            val before = if (isNew) emptyMap() else heard[host]
            for (admission in admissions) {
                val requests =
                    when {
                        isNew -> admission.admitted
                        before == null -> 0
                        else -> admission.admitted - (before[admission.workspace] ?: idleCount(admission))
                    }
                charge(admission.workspace, requests.coerceAtLeast(0), fleet, now)
            }
            heard[host] = before.orEmpty() + admissions.associate { it.workspace to it.admitted }
        }
    }

    /** Count at which an entry left off that reports a workspace again after an idle time; it has spent a burst at most. */
    private fun idleCount(admission: WorkspaceAdmissions): Long =
        (admission.admitted - (rates[admission.workspace]?.burst ?: 0)).coerceAtLeast(0)

    /** Refills before it charges, so that a long idle time does not make up for what is charged now. */
    private fun charge(
        workspace: WorkspaceName,
        requests: Long,
        fleet: EntryFleet,
        now: Instant,
    ) {
        val rate = rates[workspace] ?: return
        val bucket = buckets.getValue(workspace)
        bucket.refill(rate, fleet, now)
        bucket.level -= requests
    }

    /** Requests admitted since the start, and when the last one was. */
    private data class Admitted(
        val count: Long,
        val lastAt: Instant,
    )

    private class Bucket(
        var refilledAt: Instant,
    ) {
        var level = 0.0
        private var isOpen = false

        /** Adds an even part of the burst before the first request, since others may have just used the rest. */
        fun open(
            rate: Rate,
            fleet: EntryFleet,
        ) {
            if (!isOpen) {
                isOpen = true
                level += rate.burst.toDouble() / fleet.known
            }
        }

        fun refill(
            rate: Rate,
            fleet: EntryFleet,
            now: Instant,
        ) {
            val capacity = (rate.burst * fleet.share).coerceAtLeast(1.0)
            val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
            refilledAt = maxOf(refilledAt, now)
            level = (level + elapsed * rate.perSecond * fleet.share).coerceIn(-capacity, capacity)
        }
    }

    private companion object {
        val LONGEST_WAIT = 5.seconds

        /** Time for which an admission is reported; long enough for several reports to be lost. */
        val REPORT_TIME = 3.seconds
    }
}
