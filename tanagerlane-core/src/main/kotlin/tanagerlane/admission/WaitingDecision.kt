package tanagerlane.admission

import kotlin.time.Duration

/** Whether a request waits for a place. */
public sealed interface WaitingDecision {
    /** The request waits until it is taken, refused or removed. */
    public data object Waits : WaitingDecision

    /**
     * The request is refused for [reason].
     *
     * @property retryAfter time after which a retry is most likely to find a place
     */
    public data class Refused(
        val request: WaitingRequest,
        val reason: WaitingRefusal,
        val retryAfter: Duration,
    ) : WaitingDecision
}
