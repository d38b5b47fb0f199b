package tanagerlane.runtime

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter

/** Makes one span for each hop of a request. */
public class HopTracer(
    private val openTelemetry: OpenTelemetry,
) {
    private val tracer = openTelemetry.getTracer("tanagerlane")

    /** Starts the span of hop [name] below the W3C [traceParent] of the hop before, if there is one. */
    public fun start(
        name: String,
        traceParent: String?,
    ): HopSpan {
        val span =
            tracer
                .spanBuilder(name)
                .setParent(parentOf(traceParent))
                .setSpanKind(SpanKind.SERVER)
                .startSpan()
        return HopSpan(span, traceParentOf(Context.root().with(span)) ?: traceParent)
    }

    private fun parentOf(traceParent: String?): Context =
        openTelemetry.propagators.textMapPropagator.extract(Context.root(), traceParent, TraceParentGetter)

    private fun traceParentOf(context: Context): String? {
        val carrier = HashMap<String, String>()
        openTelemetry.propagators.textMapPropagator.inject(context, carrier) { target, key, value ->
            target?.put(key, value)
        }
        return carrier[TRACE_PARENT]
    }

    private object TraceParentGetter : TextMapGetter<String> {
        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier?.takeIf { key == TRACE_PARENT }
    }

    private companion object {
        const val TRACE_PARENT = "traceparent"
    }
}
