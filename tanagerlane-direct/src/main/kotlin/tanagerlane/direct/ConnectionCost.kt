package tanagerlane.direct

/** Estimates the memory that the connection of a caller takes up, in bytes. */
internal object ConnectionCost {
    /** Estimated cost of an idle connection with its handlers and buffers. */
    private const val CONNECTION_BYTES = 4_096L

    /** Fields of three bytes held 94 bytes each in the heap when requests were kept open with 4,000 of them. */
    private const val BYTES_PER_FIELD = 128L

    /** The buffer of a body grows by doubling, and is copied when the request is sent. */
    private const val COPIES_OF_BODY = 2

    /** Returns the cost of a connection with [head] and what is kept of [body], without bytes that wait on it. */
    fun of(
        head: HeadScanner,
        body: RequestBody,
    ): Long = CONNECTION_BYTES + head.bytes + head.lines * BYTES_PER_FIELD + ofBody(body.keptBytes)

    /** Returns the cost of a body of [bytes]. */
    fun ofBody(bytes: Long): Long = bytes * COPIES_OF_BODY
}
