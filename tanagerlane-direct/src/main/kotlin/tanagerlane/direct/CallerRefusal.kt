package tanagerlane.direct

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/**
 * Reason why a caller does not get the answer of a target.
 *
 * @property runState whether the request may have run; a status that promises "not run" is sent only if that is certain
 */
internal data class CallerRefusal(
    val reason: RefusalReason,
    val runState: RunState,
) {
    /** HTTP status, which claims no more than is certain about the request. */
    val status: Int
        get() =
            when (runState) {
                RunState.UNKNOWN -> unknownStatus()
                RunState.NOT_RUN -> notRunStatus()
            }

    /** Whether a retry of the same request may be served. */
    val isRetryable: Boolean get() = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE

    private fun unknownStatus(): Int =
        when (reason) {
            RefusalReason.DEADLINE_EXCEEDED, RefusalReason.SHUTTING_DOWN -> GATEWAY_TIMEOUT
            RefusalReason.INTERNAL -> INTERNAL_SERVER_ERROR
            else -> BAD_GATEWAY
        }

    private fun notRunStatus(): Int =
        when (reason) {
            RefusalReason.MALFORMED -> BAD_REQUEST
            RefusalReason.NO_KEY -> UNAUTHORIZED
            RefusalReason.FORBIDDEN, RefusalReason.NOT_FOUND -> NOT_FOUND
            RefusalReason.TOO_LARGE -> TOO_LARGE
            RefusalReason.RATE_LIMITED -> TOO_MANY_REQUESTS
            else -> SERVICE_UNAVAILABLE
        }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_LARGE = 413
        const val TOO_MANY_REQUESTS = 429
        const val INTERNAL_SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
    }
}
