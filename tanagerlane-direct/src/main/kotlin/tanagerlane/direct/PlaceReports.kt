package tanagerlane.direct

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
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
 * Tells the other processes what this one has at targets, and takes in what they tell.
 *
 * A report follows each change after a pause that grows with the number of receivers, so that the datagrams that a
 * process sends stay bounded however many others there are.
 */
internal class PlaceReports(
    private val fleet: Fleet,
    private val incarnation: Incarnation,
    private val places: LoadBalancer,
    private val rates: SharedRates,
    private val now: () -> Instant,
    private val isLeaving: () -> Boolean,
    private val entries: () -> EntryFleet,
) {
    private val wanted = Channel<Unit>(Channel.CONFLATED)
    private val newest = HashMap<HostName, ReportVersion>()
    private val detours = ReportForwarding(fleet.ownHost)
    private var sequence = 0L

    /** Notes that there is something new to report. */
    fun requestReport() {
        wanted.trySend(Unit)
    }

    suspend fun run() {
        while (true) {
            fleet.broadcast(ownReport())
            val pause = pauseFor(fleet.members.size)
            delay(pause)
            withTimeoutOrNull(INTERVAL - pause) { wanted.receive() }
        }
    }

    /** Takes in a report that came from its sender, and passes it on to processes that do not hear that one. */
    fun acceptAndForward(report: PlaceReport): Boolean {
        val isNew = accept(report)
        if (isNew) {
            detours.updateMissingSenders(report.host, report.unheard.toSet())
            val receivers = detours.receivers(report.host, fleet.reachable, now())
            fleet.send(receivers, ForwardedReport(report))
        }
        return isNew
    }

    /** Takes in a report; returns false when it is older than another of the same process. */
    fun accept(report: PlaceReport): Boolean {
        val from = report.host
        val last = newest[from]
        val version = ReportVersion(report.incarnation, report.sequence)
        if (last != null && version <= last) {
            return false
        }
        newest[from] = version
        places.received(from, report, now())
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
            unheard = fleet.unreachable.take(MAXIMUM_UNHEARD),
        )

    private data class ReportVersion(
        val incarnation: Incarnation,
        val sequence: Long,
    ) : Comparable<ReportVersion> {
        override fun compareTo(other: ReportVersion): Int =
            compareValuesBy(this, other, { it.incarnation.number }, { it.sequence })
    }

    internal companion object {
        /** Longest time between two reports; several fit into the time after which a process counts as lost. */
        private val INTERVAL = 150.milliseconds
        private val SHORTEST_PAUSE = 5.milliseconds

        /** Pause for each receiver, which bounds the datagrams of a process to 200 a second. */
        private val PAUSE_A_RECEIVER = 5.milliseconds
        private val LONGEST_PAUSE = 150.milliseconds

        /** Processes that a report names as not heard, so that it fits into a datagram. */
        private const val MAXIMUM_UNHEARD = 16

        /** Returns the pause after a report to [receivers] processes. */
        fun pauseFor(receivers: Int): Duration = (PAUSE_A_RECEIVER * receivers).coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE)
    }
}
