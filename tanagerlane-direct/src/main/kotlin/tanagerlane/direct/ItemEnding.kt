package tanagerlane.direct

/** How one run of an item ended. */
internal enum class ItemEnding {
    /** The whole answer has come. */
    WHOLE,

    /** The target did not run the item. */
    NOT_RUN,

    /** The run broke off or was given up; it may go on after its last event. */
    BROKEN,

    /** This process stopped the run, which says nothing about the target. */
    STOPPED,

    /** The target answered with an error of its own. */
    FAILED,

    /** The target said that the item can never be done. */
    IMPOSSIBLE,
}
