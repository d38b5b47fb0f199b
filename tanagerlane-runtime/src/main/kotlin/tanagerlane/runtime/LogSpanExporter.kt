package tanagerlane.runtime

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.slf4j.LoggerFactory

/** Writes each span as one line to the log. */
internal class LogSpanExporter : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { log(it) }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun log(span: SpanData) {
        logger.info(
            "span trace={} id={} parent={} name={} microseconds={} status={}",
            span.traceId,
            span.spanId,
            span.parentSpanId,
            span.name,
            (span.endEpochNanos - span.startEpochNanos) / NANOSECONDS_PER_MICROSECOND,
            span.status.statusCode,
        )
    }

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1_000
        val logger = LoggerFactory.getLogger(LogSpanExporter::class.java)
    }
}
