package tanagerlane.direct

import io.vertx.core.http.HttpClientConnection

/** An open connection to a target. */
internal class TargetConnection(
    val address: String,
    val httpConnection: HttpClientConnection,
) {
    /** Id of the last request sent, whose answer may arrive a second time, or null. */
    var lastRequest: String? = null

    /** Whether the connection is closed or being closed. */
    var isClosed = false
        private set

    /** Error that occurred on the connection, or null. */
    var fault: Throwable? = null
        private set

    init {
        httpConnection.exceptionHandler { fault = it }
        httpConnection.closeHandler { isClosed = true }
    }

    fun close() {
        isClosed = true
        httpConnection.close()
    }
}
