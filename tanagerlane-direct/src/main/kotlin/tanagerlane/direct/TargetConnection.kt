package tanagerlane.direct

import io.vertx.core.http.HttpClientConnection

/** An open connection to a target. */
internal class TargetConnection(
    val address: String,
    val opened: HttpClientConnection,
) {
    /** Identity of the request that was sent last, whose answer may come once more, or null. */
    var lastRequest: String? = null

    /** Whether the connection has ended. */
    var isClosed = false
        private set

    /** What went wrong on the connection, or null. */
    var fault: Throwable? = null
        private set

    init {
        opened.exceptionHandler { fault = it }
        opened.closeHandler { isClosed = true }
    }

    fun close() {
        isClosed = true
        opened.close()
    }
}
