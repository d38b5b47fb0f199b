package tanagerlane.serving

/** Kind of traffic on a route, which decides whether a request may be repeated. */
public enum class RouteKind {
    /** Calls that may run more than once. */
    SAFE,

    /** Calls that may run at most once. */
    UNSAFE,

    /** Requests whose answers are streams of events. */
    STREAM,

    /** Batch jobs. */
    BATCH,
}
