package tanagerlane.direct

import io.vertx.core.http.HttpClientConnection

/** An open connection to a target. */
internal class TargetConnection(
    val address: String,
    val httpConnection: HttpClientConnection,
) {
    private val sentRequests = SentRequests()

    /** Whether the connection has sent as many requests as it can remember. */
    val isUsedUp: Boolean get() = sentRequests.isFull

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

    /** Records that the request with the id [request] is sent. */
    fun recordSent(request: String): Unit = sentRequests.add(request)

    /** Whether the target may send an answer again that it gave to an earlier attempt of [request]. */
    fun mayRepeatAnswer(request: String): Boolean = request in sentRequests

    fun close() {
        isClosed = true
        httpConnection.close()
    }
}
