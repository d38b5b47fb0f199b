package tanagerlane.limits

import tanagerlane.message.WorkspaceAdmissions
import tanagerlane.model.HostName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Enforces the rates of workspaces across entries that report their admissions to each other.
 *
 * Every entry charges all admissions that are reported to it to its own bucket, so an entry may use the whole rate
 * while the others are idle. Entries that are not reachable are assumed to use their even share of the rate, and they
 * use no more than that once they can reach no other entry; so the sum stays within the rate during a network
 * partition. This class is thread-safe.
 */
public class SharedRates {
    private val lock = Any()
    private var rates: Map<WorkspaceName, Rate> = emptyMap()
    private val buckets = HashMap<WorkspaceName, Bucket>()
    private val admitted = HashMap<WorkspaceName, AdmissionCount>()
    private val lastReports = HashMap<HostName, HashMap<WorkspaceName, Long>>()
    private val lastReportedAt = HashMap<HostName, Instant>()

    /** Replaces all rates by [rates]; a workspace without a rate is not limited. */
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
     * Admits one request of [workspace], or returns the time after which to try again.
     *
     * @return null if the request is admitted
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
            val wait = bucket.take(rate, fleet, now)
            if (wait == null) {
                admitted[workspace] = AdmissionCount((admitted[workspace]?.count ?: 0) + 1, now)
            }
            wait
        }

    /**
     * Returns how many requests this entry has admitted since its start, for each recently active workspace.
     *
     * Workspaces without admissions within [REPORT_WINDOW] need not be reported again: an entry that received no report
     * for that long assumed that this entry used its share.
     */
    public fun report(now: Instant): List<WorkspaceAdmissions> =
        synchronized(lock) {
            admitted.filterValues { now - it.lastAt <= REPORT_WINDOW }.map {
                WorkspaceAdmissions(
                    it.key,
                    it.value.count,
                )
            }
        }

    /**
     * Charges the requests that [host] has admitted since its last report.
     *
     * Requests that it had admitted before its first report to this entry are not charged: this entry opens each
     * bucket with only its even part of the burst, which leaves the rest to the others.
     *
     * @param isNew whether [host] started after this entry, so that all its admissions are charged
     */
    public fun received(
        host: HostName,
        admissions: List<WorkspaceAdmissions>,
        isNew: Boolean,
        fleet: EntryFleet,
        now: Instant,
    ) {
        synchronized(lock) {
            if (isNew) {
                lastReports[host] = HashMap()
            }
            val hasReported = host in lastReports
            val isAfterSilence = lastReportedAt.put(host, now)?.let { now - it > SILENCE } ?: false
            val counts = lastReports.getOrPut(host) { HashMap() }
            for (admission in admissions) {
                val previous = counts.put(admission.workspace, admission.admitted)
                val requests =
                    when {
                        isNew -> admission.admitted
                        !hasReported -> 0
                        else -> admission.admitted - (previous ?: priorCount(admission))
                    }
                if (requests > 0) {
                    charge(admission.workspace, requests, isAfterSilence, fleet, now)
                }
            }
        }
    }

    /**
     * Estimates the previous count of an entry that reports a workspace again after an idle time: since then, it has
     * admitted at most a burst.
     */
    private fun priorCount(admission: WorkspaceAdmissions): Long =
        (admission.admitted - (rates[admission.workspace]?.burst ?: 0)).coerceAtLeast(0)

    /** Refills before charging, so that tokens accrued in an idle time do not offset what is charged now. */
    private fun charge(
        workspace: WorkspaceName,
        requests: Long,
        isAfterSilence: Boolean,
        fleet: EntryFleet,
        now: Instant,
    ) {
        val rate = rates[workspace] ?: return
        val bucket = buckets.getValue(workspace)
        bucket.refill(rate, fleet, now)
        bucket.charge(requests, isAfterSilence, now)
    }

    /** Number of requests admitted since the start, and the time of the last one. */
    private data class AdmissionCount(
        val count: Long,
        val lastAt: Instant,
    )

    /**
     * Tokens of one workspace.
     *
     * Reports are late, so entries that all see a token would all take it. While others admit requests of the workspace
     * as well and few tokens are left, each entry takes no more than its even part of the rate.
     */
    private class Bucket(
        var refilledAt: Instant,
    ) {
        private var level = 0.0
        private var ownPart = 0.0
        private var chargedAt: Instant? = null

        /** Tokens that were left to entries while they were not reachable. */
        private var leftToOthers = 0.0
        private var isOpen = false

        /** Adds an even part of the burst before the first request; other entries may just have used the rest. */
        fun open(
            rate: Rate,
            fleet: EntryFleet,
        ) {
            if (!isOpen) {
                isOpen = true
                level += rate.burst.toDouble() / fleet.known
                ownPart = rate.burst.toDouble() / fleet.known
            }
        }

        fun refill(
            rate: Rate,
            fleet: EntryFleet,
            now: Instant,
        ) {
            val capacity = (rate.burst * fleet.share).coerceAtLeast(1.0)
            // A debt that is forgiven is admitted a second time within the same window; late reports of a burst can
            // make it larger than the burst.
            val maximumDebt = rate.burst + rate.perSecond * MAXIMUM_DEBT_TIME.toDouble(DurationUnit.SECONDS)
            val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
            refilledAt = maxOf(refilledAt, now)
            level = (level + elapsed * rate.perSecond * fleet.share).coerceIn(-maximumDebt, capacity)
            leftToOthers = (leftToOthers + elapsed * rate.perSecond * (1 - fleet.share)).coerceAtMost(maximumDebt)
            val ownCapacity = (rate.burst.toDouble() / fleet.known).coerceAtLeast(1.0)
            ownPart = (ownPart + elapsed * rate.perSecond / fleet.known).coerceAtMost(ownCapacity)
        }

        /** Takes one token; returns null, or the time after which there may be one. */
        fun take(
            rate: Rate,
            fleet: EntryFleet,
            now: Instant,
        ): Duration? {
            val isShared = chargedAt?.let { now - it <= SHARED_USE_TIME } ?: false
            val isLimited = isShared && level < rate.burst * AMPLE_PART_OF_BURST
            return when {
                level < 1.0 -> {
                    waitFor(1.0 - level, rate.perSecond * fleet.share)
                }

                isLimited && ownPart < 1.0 -> {
                    waitFor(1.0 - ownPart, rate.perSecond / fleet.known)
                }

                else -> {
                    level -= 1.0
                    ownPart = (ownPart - 1.0).coerceAtLeast(0.0)
                    null
                }
            }
        }

        /** Charges [requests], but not what was left to their entry if it was not reachable until now. */
        fun charge(
            requests: Long,
            isAfterSilence: Boolean,
            now: Instant,
        ) {
            val alreadyLeft = if (isAfterSilence) minOf(leftToOthers, requests.toDouble()) else 0.0
            leftToOthers -= alreadyLeft
            level -= requests - alreadyLeft
            chargedAt = now
        }

        private fun waitFor(
            tokens: Double,
            perSecond: Double,
        ): Duration = if (perSecond <= 0.0) MAXIMUM_WAIT else minOf((tokens / perSecond).seconds, MAXIMUM_WAIT)
    }

    private companion object {
        val MAXIMUM_WAIT = 5.seconds

        /** Time for which an admission is reported; long enough to tolerate the loss of several reports. */
        val REPORT_WINDOW = 3.seconds

        /** Time for which a workspace is refused at most for what other entries have reported late, beside its burst. */
        val MAXIMUM_DEBT_TIME = 5.seconds

        /** Time after a report of admissions for which other entries are expected to admit further requests. */
        val SHARED_USE_TIME = 1.seconds

        /** Part of the burst above which entries need not divide the tokens. */
        const val AMPLE_PART_OF_BURST = 0.5

        /** Time between two reports of an entry above which it was not reachable. */
        val SILENCE = 700.milliseconds
    }
}
