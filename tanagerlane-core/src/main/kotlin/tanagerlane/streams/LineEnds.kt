package tanagerlane.streams

/** Finds the lines of a byte stream, so that they can be copied as a whole. */
public object LineEnds {
    /** The byte that ends a line. */
    public const val LINE_FEED: Byte = '\n'.code.toByte()

    /** Returns the index after the line of [bytes] that goes on at [start], or the size where its end has not come. */
    public fun endOfLine(
        bytes: ByteArray,
        start: Int,
    ): Int {
        var index = start
        while (index < bytes.size) {
            if (bytes[index++] == LINE_FEED) {
                return index
            }
        }
        return index
    }
}
