package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.message.LoadReport
import tanagerlane.model.Incarnation
import tanagerlane.model.ModelName
import tanagerlane.model.ServiceName
import kotlin.time.Instant

/** What an entry knows of one target; used under the lock of its [SidecarDirectory]. */
internal class RoutedTarget(
    var declared: Target,
) {
    var incarnation: Incarnation? = null
    var isListedLeaving = false
    var inFlight = 0

    private var report: LoadReport? = null
    private var reportedAt = Instant.DISTANT_PAST
    private var inFlightAtReport = 0

    val name: String get() = declared.name.text

    fun serves(model: ModelName): Boolean = model in declared.models

    fun serves(service: ServiceName): Boolean = service in declared.services

    fun take(
        message: LoadReport,
        now: Instant,
    ) {
        report = message
        reportedAt = now
        inFlightAtReport = inFlight
    }

    fun mayTakeWork(
        now: Instant,
        policy: RoutingPolicy,
    ): Boolean {
        val known = report
        return incarnation != null && known != null && !known.draining && !declared.leaving && !isListedLeaving &&
            now - reportedAt <= policy.reportLifetime
    }

    /** Requests relative to the window; what was sent since the report is added to it. */
    fun load(): Double {
        val known = report
        val window = maxOf(known?.window ?: declared.window, 1)
        val reported = known?.let { it.onlineQueued + it.onlineRunning } ?: 0
        val sentSince = maxOf(inFlight - inFlightAtReport, 0)
        return maxOf(reported + sentSince, inFlight).toDouble() / window
    }
}
