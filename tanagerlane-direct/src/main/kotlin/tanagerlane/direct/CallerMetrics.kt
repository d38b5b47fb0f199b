package tanagerlane.direct

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import tanagerlane.callers.CallerBudget
import tanagerlane.callers.ConnectionEnd
import java.util.concurrent.atomic.AtomicInteger

/** Counters and gauges of the connections of callers. */
internal class CallerMetrics(
    registry: MeterRegistry,
    budget: CallerBudget,
) {
    private val ended =
        ConnectionEnd.entries.associateWith {
            Counter.builder("tanagerlane.connections.ended").tag("cause", it.name.lowercase()).register(registry)
        }

    /** Open connections of callers. */
    val connections: AtomicInteger = registry.gauge("tanagerlane.connections.open", AtomicInteger())

    init {
        registry.gauge("tanagerlane.callers.held.bytes", budget) { it.heldBytes.toDouble() }
    }

    /** Returns the counter of connections that were ended for [cause]. */
    fun ended(cause: ConnectionEnd): Counter = ended.getValue(cause)
}
