package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.message.LoadReport
import tanagerlane.model.Incarnation
import tanagerlane.model.ModelName
import tanagerlane.model.ServiceName
import kotlin.time.Instant

/** State of one target at an entry; guarded by the lock of its [SidecarDirectory]. */
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

    fun update(
        newReport: LoadReport,
        now: Instant,
    ) {
        report = newReport
        reportedAt = now
        inFlightAtReport = inFlight
    }

    fun isAvailable(
        now: Instant,
        policy: RoutingPolicy,
    ): Boolean {
        val latest = report
        return incarnation != null && latest != null && !latest.draining && !declared.leaving && !isListedLeaving &&
            now - reportedAt <= policy.reportLifetime
    }

    /** Requests relative to the window; requests sent since the last report are added to the reported ones. */
    fun load(): Double {
        val latest = report
        val window = maxOf(latest?.window ?: declared.window, 1)
        val reported = latest?.let { it.onlineQueued + it.onlineRunning } ?: 0
        val sentSince = maxOf(inFlight - inFlightAtReport, 0)
        return maxOf(reported + sentSince, inFlight).toDouble() / window
    }
}
