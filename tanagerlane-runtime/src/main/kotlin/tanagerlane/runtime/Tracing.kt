package tanagerlane.runtime

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.propagation.ContextPropagators
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import tanagerlane.settings.HostSettings
import tanagerlane.settings.TraceExporter

/** Sets up traces as [settings] ask; [service] names the process in each span. */
public fun openTelemetryOf(
    settings: HostSettings,
    service: String,
): OpenTelemetry =
    when (settings.traceExporter) {
        TraceExporter.NONE -> propagatingOnly()
        TraceExporter.LOG -> exporting(LogSpanExporter(), settings, service)
        TraceExporter.OTLP -> exporting(otlpExporter(settings), settings, service)
    }

private fun propagatingOnly(): OpenTelemetry = OpenTelemetry.propagating(propagators())

private fun propagators(): ContextPropagators = ContextPropagators.create(W3CTraceContextPropagator.getInstance())

private fun otlpExporter(settings: HostSettings): SpanExporter {
    val endpoint = requireNotNull(settings.traceEndpoint) { "the OTLP exporter needs traceEndpoint" }
    return OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
}

private fun exporting(
    exporter: SpanExporter,
    settings: HostSettings,
    service: String,
): OpenTelemetry {
    val attributes =
        Attributes.of(
            AttributeKey.stringKey("service.name"),
            service,
            AttributeKey.stringKey("host.name"),
            settings.name.text,
        )
    val provider =
        SdkTracerProvider
            .builder()
            .setResource(Resource.create(attributes))
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
            .build()
    return OpenTelemetrySdk
        .builder()
        .setTracerProvider(provider)
        .setPropagators(propagators())
        .build()
}
