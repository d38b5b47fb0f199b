package tanagerlane.direct

import tanagerlane.model.JobId
import tanagerlane.model.RequestId

/** Operation that a caller requests. */
public sealed interface CallerCall {
    /** Forwards the request to a target, or submits a job if the route accepts jobs. */
    public data object Forward : CallerCall

    /** Reads the results of [job] that follow position [after]. */
    public data class ReadResults(
        val job: JobId,
        val after: Int,
    ) : CallerCall

    /** Reads the body of [item] of [job]. */
    public data class ReadItem(
        val job: JobId,
        val item: RequestId,
    ) : CallerCall

    /** Ends [job]. */
    public data class EndJob(
        val job: JobId,
    ) : CallerCall

    /** Asks whether this process accepts new callers. */
    public data object Readiness : CallerCall
}
