package tanagerlane.direct

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import tanagerlane.admission.WaitingRequests
import tanagerlane.concurrency.receiveWithin
import tanagerlane.limits.EntryFleet
import tanagerlane.limits.SharedRates
import tanagerlane.membership.ReportForwarding
import tanagerlane.message.ForwardedReport
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.places.LoadBalancer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Reports to the other processes which places at targets this one occupies, and processes their reports.
 *
 * A report is sent after each change, but not before a pause has passed since the last one. The pause grows with the
 * number of receivers, which bounds the rate of datagrams that a process sends, however many other processes there are.
 */
internal class PlaceReports(
    private val fleet: Fleet,
    private val incarnation: Incarnation,
    private val places: LoadBalancer,
    private val rates: SharedRates,
    private val now: () -> Instant,
    private val isLeaving: () -> Boolean,
    private val entries: () -> EntryFleet,
    private val waiting: WaitingRequests = WaitingRequests(),
) {
    private val requests = Channel<Unit>(Channel.CONFLATED)
    private val latestVersions = HashMap<HostName, ReportVersion>()
    private val forwarding = ReportForwarding(fleet.ownHost)
    private var sequence = 0L

    /** Requests a report, because the reported state has changed. */
    fun requestReport() {
        requests.trySend(Unit)
    }

    /** Sends reports until cancelled. */
    suspend fun run() {
        while (true) {
            fleet.broadcast(ownReport())
            val pause = pauseFor(fleet.members.size)
            delay(pause)
            requests.receiveWithin(INTERVAL - pause)
        }
    }

    /**
     * Processes a report received directly from its sender, and forwards it to processes that do not receive that
     * sender's reports.
     *
     * @return false if the report is not newer than the last one of the same process; it is ignored then
     */
    fun acceptAndForward(report: PlaceReport): Boolean {
        val isNew = accept(report)
        if (isNew) {
            forwarding.updateMissingSenders(report.host, report.unheard.toSet())
            val receivers = forwarding.receivers(report.host, fleet.reachable, now())
            fleet.send(receivers, ForwardedReport(report))
        }
        return isNew
    }

    /**
     * Processes a report that another process has forwarded.
     *
     * @return false if it is this process's own or not newer than the last one of the same process; it is ignored then
     */
    fun acceptForwarded(forwarded: ForwardedReport): Boolean =
        forwarded.report.host != fleet.ownHost && accept(forwarded.report)

    /**
     * Processes a report, whether received directly or forwarded.
     *
     * @return false if the report is not newer than the last one of the same process; it is ignored then
     */
    fun accept(report: PlaceReport): Boolean {
        val from = report.host
        val last = latestVersions[from]
        val version = ReportVersion(report.incarnation, report.sequence)
        if (last != null && version <= last) {
            return false
        }
        latestVersions[from] = version
        places.received(from, report, now())
        waiting.received(from, report.waiting, now())
        val isNew =
            if (last == null) report.incarnation.number > incarnation.number else last.incarnation != report.incarnation
        rates.received(from, report.admissions, isNew, entries(), now())
        fleet.setLeaving(from, report.leaving)
        return true
    }

    private fun ownReport() =
        PlaceReport(
            host = fleet.ownHost,
            incarnation = incarnation,
            sequence = ++sequence,
            places = places.report(),
            admissions = rates.report(now()),
            leaving = isLeaving(),
            unheard = fleet.unreachable.take(MAXIMUM_UNREACHABLE),
            paces = places.pace { report(now()) },
            waiting = waiting.report(),
        )

    private data class ReportVersion(
        val incarnation: Incarnation,
        val sequence: Long,
    ) : Comparable<ReportVersion> {
        override fun compareTo(other: ReportVersion): Int =
            compareValuesBy(this, other, { it.incarnation.number }, { it.sequence })
    }

    internal companion object {
        /**
         * Maximum time between two reports; several reports fit into the time after which a process counts as lost
         * ([Fleet.SILENCE_TIMEOUT]).
         */
        private val INTERVAL = 150.milliseconds
        private val MINIMUM_PAUSE = 5.milliseconds

        /** Pause for each receiver, which bounds the datagrams of a process to 200 per second. */
        private val PAUSE_PER_RECEIVER = 5.milliseconds
        private val MAXIMUM_PAUSE = 150.milliseconds

        /** Maximum number of unreachable processes that a report names, so that it fits into a datagram. */
        private const val MAXIMUM_UNREACHABLE = 16

        /** Returns the pause that follows a report to [receivers] processes. */
        fun pauseFor(receivers: Int): Duration = (PAUSE_PER_RECEIVER * receivers).coerceIn(MINIMUM_PAUSE, MAXIMUM_PAUSE)
    }
}
