package tanagerlane.runtime

import io.vertx.core.http.HttpClientRequest

/** Bounds the answers 100 and 103 that a target sends before the final one. */
public object InterimAnswers {
    /** Most interim answers to one request; targets send one of each at most. */
    public const val MAXIMUM: Int = 16

    /** Calls [onTooMany] for each interim answer to [request] over [MAXIMUM]; to be set before the request is sent. */
    public fun bound(
        request: HttpClientRequest,
        onTooMany: () -> Unit,
    ) {
        var count = 0
        val note = {
            count++
            if (count > MAXIMUM) {
                onTooMany()
            }
        }
        request.continueHandler { note() }
        request.earlyHintsHandler { note() }
    }
}
