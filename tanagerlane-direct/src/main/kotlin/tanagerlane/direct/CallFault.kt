package tanagerlane.direct

import kotlin.time.Duration

/** Reason why a call to a target yielded no answer. */
internal sealed interface CallFault {
    /** The request certainly never reached the target. */
    data class NotSent(
        val cause: String,
    ) : CallFault

    /** The request was sent, but the head of the answer did not arrive within the [time] that it was given. */
    data class TimedOut(
        val time: Duration,
    ) : CallFault

    /** The request was sent, but no complete and valid head of an answer arrived; [cause] says why. */
    data class Lost(
        val cause: String,
    ) : CallFault
}
