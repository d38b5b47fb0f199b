package tanagerlane.callers

/** Reason why a process ends a connection of a caller. */
public enum class ConnectionEnd {
    /** No request was open for the idle timeout. */
    IDLE,

    /** The head of a request made too little progress. */
    SLOW_HEAD,

    /** The body of a request made too little progress. */
    SLOW_BODY,

    /** The caller made too little progress in reading an answer. */
    SLOW_READER,

    /** The head of a request had too many bytes or fields. */
    LARGE_HEAD,

    /** The process held too many bytes for callers. */
    OVER_BUDGET,

    /** Too many connections were open. */
    TOO_MANY_CONNECTIONS,
}
