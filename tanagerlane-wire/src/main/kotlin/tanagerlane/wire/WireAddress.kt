package tanagerlane.wire

/** IP number and port that a process listens on. */
public data class WireAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Reads `host:port`; returns null when [text] has another form. */
        public fun parse(text: String): WireAddress? {
            val port = text.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            val isValid = host.length in 1..MAXIMUM_HOST_CHARACTERS && port in 0..MAXIMUM_PORT
            return if (isValid) WireAddress(host, port) else null
        }

        private const val MAXIMUM_PORT = 65_535

        /** Length of the longest domain name; to look up a much longer one blocks the thread for seconds. */
        private const val MAXIMUM_HOST_CHARACTERS = 253
    }
}
