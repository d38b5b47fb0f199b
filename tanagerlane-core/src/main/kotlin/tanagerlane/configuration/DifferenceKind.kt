package tanagerlane.configuration

/** How an entry differs between two inventories. */
public enum class DifferenceKind {
    /** Only the later inventory has it. */
    ADDED,

    /** Only the earlier inventory has it. */
    REMOVED,

    /** Both have it, with different content. */
    CHANGED,
}
