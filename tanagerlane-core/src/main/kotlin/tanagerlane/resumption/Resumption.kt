package tanagerlane.resumption

import tanagerlane.message.StreamOrigin

/** Whether a stream that a caller resumes may go on. */
public sealed interface Resumption {
    /** It may go on at targets of the service and the version of [origin], which is known from [source]. */
    public data class At(
        val origin: StreamOrigin,
        val source: OriginSource,
    ) : Resumption

    /** It must not go on here: its target may have started again with another version, unnoticed by this process. */
    public data object Unconfirmed : Resumption

    /** It must not go on: it is unknown which version began it. */
    public data object Unknown : Resumption
}
