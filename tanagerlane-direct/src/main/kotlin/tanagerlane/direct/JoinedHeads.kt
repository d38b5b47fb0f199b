package tanagerlane.direct

import io.vertx.core.http.HttpClientResponse

/** Detects answers whose head consists of the first part of one head and the whole of another. */
internal object JoinedHeads {
    private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

    /**
     * Returns the part of the head that contains a second status line, or null if there is none.
     *
     * A target that sends an extra answer and cuts it off causes this: the parser appends the status line of the next
     * answer to the header that was cut off.
     */
    fun secondStatusLine(response: HttpClientResponse): String? =
        response.statusMessage()?.takeIf(STATUS_LINE::containsMatchIn)
            ?: response
                .headers()
                .firstOrNull {
                    STATUS_LINE.containsMatchIn(
                        it.value,
                    )
                }?.let { "${it.key}: ${it.value}" }
}
