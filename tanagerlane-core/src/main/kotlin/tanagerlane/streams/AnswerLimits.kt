package tanagerlane.streams

/** Size limits of the answers of targets; an answer that exceeds one is rejected. */
public object AnswerLimits {
    /** Maximum bytes of an answer that is buffered whole, 8 MiB: eight times the largest value of an object API. */
    public const val MAXIMUM_ANSWER_BYTES: Int = 8 shl 20

    /** Maximum bytes of one event, 1 MiB: the largest value that an object API stores. */
    public const val MAXIMUM_EVENT_BYTES: Int = 1 shl 20

    /** Maximum bytes of a stream through a sidecar, 64 MiB: 250,000 events of 256 bytes, more than any model emits. */
    public const val MAXIMUM_STREAM_BYTES: Long = 64L shl 20

    /** Memory overhead of one event object in bytes, in addition to its content. */
    public const val EVENT_OVERHEAD_BYTES: Int = 64
}
