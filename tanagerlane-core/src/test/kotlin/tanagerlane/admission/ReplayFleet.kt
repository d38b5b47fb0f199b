package tanagerlane.admission

import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Sizes, times and values of the replays. */
internal object ReplayFleet {
    const val TARGETS = 36
    const val PLACES = 8
    const val MEAN_SECONDS = 0.75
    const val TARGET_QUEUE_SHARE = 0.25
    const val LATE_VALUE = 0.15
    const val REFUSED_AGAIN_VALUE = -0.3

    /** Assumed for "a little more" than a prompt refusal. */
    const val HELD_VALUE = -0.1
    val SERVICE = ServiceName("models")
    val START = Instant.fromEpochSeconds(1_000_000)
    val OBJECTIVE = 300.milliseconds
    val TIMEOUT = 5.seconds
    val PRESENT_RETRY_AFTER = 300.milliseconds
    val FIRST_EVENT = 40.milliseconds
    val LINK = 1.milliseconds
    val TICK = 10.milliseconds
    val INTERVAL = 100.milliseconds
    val DELIVERY = 30.milliseconds

    fun targetOf(number: Int) =
        DirectTarget(
            name = TargetName("t$number"),
            service = SERVICE,
            address = "10.0.0.1:80",
            failureDomain = FailureDomain("${"abcd"[number % 4]}"),
            places = PLACES,
        )
}
