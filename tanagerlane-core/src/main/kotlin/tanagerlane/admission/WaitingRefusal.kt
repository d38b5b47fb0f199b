package tanagerlane.admission

/** Why a request does not wait, or no longer. */
public enum class WaitingRefusal {
    /** Too many requests or bytes wait already. */
    QUEUE_FULL,

    /** No place is expected to become free within the objective. */
    NOT_IN_TIME,

    /** The request has waited for as long as a late one may. */
    HELD_TOO_LONG,
}
