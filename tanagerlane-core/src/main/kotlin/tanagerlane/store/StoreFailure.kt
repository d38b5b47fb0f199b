package tanagerlane.store

/** Why a call of the object API did not succeed. */
public sealed interface StoreFailure {
    /** There is no object with this key. */
    public data class NotFound(
        val key: ObjectKey,
    ) : StoreFailure

    /** The condition did not hold; [current] is the version found, or null when there is no object. */
    public data class Conflict(
        val key: ObjectKey,
        val current: ObjectVersion?,
    ) : StoreFailure

    /** The value is over [maximumBytes]. */
    public data class TooLarge(
        val key: ObjectKey,
        val maximumBytes: Int,
    ) : StoreFailure

    /** The changes since the version of a watch are no longer kept; the objects have to be listed anew. */
    public data object HistoryGone : StoreFailure

    /** The call certainly took no effect; it may be tried again. */
    public data class Unavailable(
        val cause: String,
    ) : StoreFailure

    /** A write may or may not have taken effect. */
    public data class OutcomeUnknown(
        val cause: String,
    ) : StoreFailure
}
