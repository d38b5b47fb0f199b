package tanagerlane.resumption

import tanagerlane.message.StreamOrigin
import tanagerlane.model.RequestId
import tanagerlane.model.SoftwareVersion
import kotlin.time.Duration
import kotlin.time.Instant

/** A stream at one target through one entry; [origin] is null before its first event. */
internal class SimulatedRun(
    val stream: SimulatedStream,
    val entry: SimulatedProcess,
    val target: SimulatedTarget,
    var origin: StreamOrigin?,
    val startedAt: Instant,
) {
    var isOver = false
}

/** A stream that a caller receives in one or more attempts. */
internal class SimulatedStream(
    val number: Int,
    val startedAt: Instant,
    var remaining: Duration,
    val isNamed: Boolean,
) {
    /** Id of the attempt that brought the first event, or null before that. */
    var attempt: RequestId? = null
    var takeUps = 0

    /** Versions that wrote its events. */
    val versions = LinkedHashSet<SoftwareVersion>()
}
