package tanagerlane.direct

import tanagerlane.model.JobId
import tanagerlane.model.RequestId

/** Operation that a caller requests. */
public sealed interface CallerCall {
    /** Forwards the request to a target, or submits a job if the route accepts jobs. */
    public data object Forward : CallerCall

    /** Call about [job], unless a route has the path of the call. */
    public sealed interface JobCall : CallerCall {
        public val job: JobId
    }

    /** Reads the results of [job] that follow position [after]. */
    public data class ReadResults(
        override val job: JobId,
        val after: Int,
    ) : JobCall

    /** Reads the body of [item] of [job]. */
    public data class ReadItem(
        override val job: JobId,
        val item: RequestId,
    ) : JobCall

    /** Ends [job]. */
    public data class EndJob(
        override val job: JobId,
    ) : JobCall

    /** Asks whether this process accepts new callers; a request like any other where callers are served. */
    public data object Readiness : CallerCall
}
