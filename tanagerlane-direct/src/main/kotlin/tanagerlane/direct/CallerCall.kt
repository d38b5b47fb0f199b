package tanagerlane.direct

import tanagerlane.model.JobId
import tanagerlane.model.RequestId

/** What a caller asks for. */
public sealed interface CallerCall {
    /** A request for a target, or a new job where its route takes jobs. */
    public data object Forward : CallerCall

    /** Results of a job from a position on. */
    public data class ReadResults(
        val job: JobId,
        val after: Int,
    ) : CallerCall

    /** The body of an item. */
    public data class ReadItem(
        val job: JobId,
        val item: RequestId,
    ) : CallerCall

    /** The end of a job. */
    public data class EndJob(
        val job: JobId,
    ) : CallerCall

    /** Whether this process takes new callers. */
    public data object Readiness : CallerCall
}
