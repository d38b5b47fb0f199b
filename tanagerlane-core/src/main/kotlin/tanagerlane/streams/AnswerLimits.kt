package tanagerlane.streams

/** Sizes over which what a target sends is no answer. */
public object AnswerLimits {
    /** Most bytes of an answer that is kept whole, 8 MiB: eight times the largest value that an object API stores. */
    public const val MAXIMUM_ANSWER_BYTES: Int = 8 shl 20

    /** Most bytes of one event, 1 MiB: the largest value that an object API stores. */
    public const val MAXIMUM_EVENT_BYTES: Int = 1 shl 20

    /** Most bytes of a stream through a sidecar, 64 MiB: 250,000 events of 256 bytes, beyond the tokens of any model. */
    public const val MAXIMUM_STREAM_BYTES: Long = 64L shl 20

    /** Bytes that an event costs beside its own, as an object in memory. */
    public const val EVENT_OVERHEAD_BYTES: Int = 64
}
