package tanagerlane.runtime

/** Kind of a call on the object API, for counting against the platform's budget. */
public enum class StoreCall {
    /** A read of one object or a listing. */
    READ,

    /** A conditional write or delete. */
    WRITE,

    /** A watch, whether or not it brought changes. */
    WATCH,
}
