package tanagerlane.store

/** Reason why a call to the object API failed. */
public sealed interface StoreFailure {
    /** There is no object with this key. */
    public data class NotFound(
        val key: ObjectKey,
    ) : StoreFailure

    /** The condition did not hold; [current] is the version found, or null if there is no object. */
    public data class Conflict(
        val key: ObjectKey,
        val current: ObjectVersion?,
    ) : StoreFailure

    /** The value is larger than [maximumBytes], or than a limit that the object API does not tell if that is null. */
    public data class TooLarge(
        val key: ObjectKey,
        val maximumBytes: Int? = null,
    ) : StoreFailure

    /** The changes since the version of a watch are no longer kept; the objects have to be listed again. */
    public data object HistoryGone : StoreFailure

    /** The call certainly had no effect; it may be retried. */
    public data class Unavailable(
        val cause: String,
    ) : StoreFailure

    /** A write may or may not have taken effect. */
    public data class OutcomeUnknown(
        val cause: String,
    ) : StoreFailure
}
