package tanagerlane.jobs

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counters of one worker. */
internal class BatchMetrics(
    registry: MeterRegistry,
) {
    val items: Counter = registry.counter("tanagerlane.batch.items.stored")
    val claims: Counter = registry.counter("tanagerlane.batch.claims")
    val takeovers: Counter = registry.counter("tanagerlane.batch.takeovers")
    val losses: Counter = registry.counter("tanagerlane.batch.claims.lost")
    val checkpoints: Counter = registry.counter("tanagerlane.batch.checkpoints")
    val unreadable: Counter = registry.counter("tanagerlane.batch.objects.unreadable")
    val failedCalls: Counter = registry.counter("tanagerlane.batch.store.failures")
}
