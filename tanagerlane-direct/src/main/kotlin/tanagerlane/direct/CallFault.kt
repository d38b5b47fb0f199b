package tanagerlane.direct

import kotlin.time.Duration

/** Why a call of a target gave no answer. */
internal sealed interface CallFault {
    /** The request certainly never reached the target. */
    data class NotSent(
        val cause: String,
    ) : CallFault

    /** The request was sent, and no head of an answer came within [timeout]. */
    data class TimedOut(
        val timeout: Duration,
    ) : CallFault

    /** The request was sent, and no whole head of an answer came. */
    data class Lost(
        val cause: String,
    ) : CallFault
}
