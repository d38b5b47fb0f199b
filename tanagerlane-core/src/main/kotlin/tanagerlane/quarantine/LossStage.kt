package tanagerlane.quarantine

/** How far the answer to a request was when its target was lost. */
public enum class LossStage {
    /** The target had not begun to answer. */
    WAITING,

    /** The head of the answer was received, and no event or byte of its body. */
    BEGUN,

    /** Events or bytes of the body were received. */
    STREAMING,
}
