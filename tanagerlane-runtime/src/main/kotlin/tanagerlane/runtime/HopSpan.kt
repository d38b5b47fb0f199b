package tanagerlane.runtime

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode

/**
 * The span of one hop, open until [end].
 *
 * @property traceParent W3C trace context for the next hop, or null where there is none
 */
public class HopSpan internal constructor(
    private val span: Span,
    public val traceParent: String?,
) {
    /** Ends the span; [failure] names what went wrong, if anything. */
    public fun end(failure: String? = null) {
        if (failure != null) {
            span.setStatus(StatusCode.ERROR, failure)
        }
        span.end()
    }
}
