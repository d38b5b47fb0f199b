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
            return if (host.isEmpty() || port !in 0..MAXIMUM_PORT) null else WireAddress(host, port)
        }

        private const val MAXIMUM_PORT = 65_535
    }
}
