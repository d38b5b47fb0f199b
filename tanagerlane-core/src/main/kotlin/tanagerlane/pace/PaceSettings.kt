package tanagerlane.pace

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [TargetPace].
 *
 * @property coldShare share of a declared rate that is used for a target that is known to be cold
 * @property overage multiple of a declared rate that the requests of one second may reach, besides [slack]
 * @property slack requests of one second beyond [overage]
 * @property warmShare share of that bound that is used for a target that is not known to be cold; the rest is kept for
 *   processes that the others do not know yet
 * @property runnerDivisor a runner's part of a rate or window: all runners together get one part in this many
 * @property rateWindow time in which requests are counted; longer than a second, as deliveries take different times
 * @property coldMargin time by which a target may stay cold longer than its registration says
 * @property quietStart time after its own start for which a process sends nothing to targets with a declared rate,
 *   since the process of the same host that ran before may have used its share
 * @property memberRetention time for which a process that is no longer registered keeps its share of a rate, since it
 *   may be cut off and alive
 * @property firstWindow requests that all processes may have in flight at a target of which nothing is known
 * @property initialHold time for which a target is held back after a failure; doubles with each failed probe
 * @property maximumHold upper limit of the time for which a target is held back
 * @property probeStep time after which the next process may probe a target that the one before has not probed
 * @property growthTimeout time without growth of a window after which processes without a share in it may send, one after the other
 * @property limitTime time without failure after which a target is at full pace, however few requests it was sent
 * @property heldTime time without failure after which a held target counts as new
 * @property linger time for which a target that is at full pace again is reported, so that all processes learn of it
 * @property lateFactor multiple of the usual latency of a service beyond which an answer is late
 * @property lateMargin latency beyond that multiple that is still in time
 * @property reportedTargets targets that a report names at most, those observed last, so that it fits into a datagram
 */
public data class PaceSettings(
    val coldShare: Double = 0.9,
    val overage: Double = 1.5,
    val slack: Double = 5.0,
    val warmShare: Double = 0.875,
    val runnerDivisor: Int = 8,
    val rateWindow: Duration = 1050.milliseconds,
    val coldMargin: Duration = 300.milliseconds,
    val quietStart: Duration = 1050.milliseconds,
    val memberRetention: Duration = 60.seconds,
    val firstWindow: Double = 2.0,
    val initialHold: Duration = 200.milliseconds,
    val maximumHold: Duration = 1.seconds,
    val probeStep: Duration = 300.milliseconds,
    val growthTimeout: Duration = 1.seconds,
    val limitTime: Duration = 10.seconds,
    val heldTime: Duration = 30.seconds,
    val linger: Duration = 1.seconds,
    val lateFactor: Double = 3.0,
    val lateMargin: Duration = 100.milliseconds,
    val reportedTargets: Int = 8,
)
