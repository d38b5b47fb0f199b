package tanagerlane.pace

/** What limits the requests to a target. */
public enum class PaceRegime {
    /** Only its places. */
    FULL,

    /** A window that grows with its answers. */
    RAMPING,

    /** The declared rate of a cold target. */
    COLD,

    /** It has failed, and is held back until a probe is answered. */
    HELD,
}
