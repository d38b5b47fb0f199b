package tanagerlane.serving

/** What a route carries, which decides what may be repeated. */
public enum class RouteKind {
    /** Calls that may run more than once. */
    SAFE,

    /** Calls that may run at most once. */
    UNSAFE,

    /** Streams of events. */
    STREAM,

    /** Batch jobs. */
    BATCH,
}
