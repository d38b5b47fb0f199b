package tanagerlane.direct

/** Outcome of one run of an item. */
internal enum class ItemEnding {
    /** The complete answer was received. */
    WHOLE,

    /** The target did not run the item. */
    NOT_RUN,

    /** The run was interrupted or timed out; it can be resumed after the last event received. */
    BROKEN,

    /** This process cancelled the run, so the outcome does not count against the target. */
    STOPPED,

    /** The target answered with an error, or the answer was too long. */
    FAILED,

    /** The target reported that the item can never be completed. */
    IMPOSSIBLE,
}
