package tanagerlane.direct

/** How a run of an item that has received events before goes on. */
internal enum class ItemContinuation {
    /** After the last event received. */
    CONTINUED,

    /** From the beginning, since no target of the software version that sent the events could be used. */
    VERSION_GONE,
}
