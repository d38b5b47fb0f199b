package tanagerlane.callers

/** What a connection of a caller waits for. */
public enum class CallerWait {
    /** Work of this process or of a target; the caller waits for an answer. */
    ANSWER,

    /** Bytes that the caller has to send. */
    REQUEST,

    /** The caller, who has to read what was written of an answer. */
    READING,
}
