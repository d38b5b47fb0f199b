package tanagerlane.direct

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import tanagerlane.admission.WaitingRequests
import tanagerlane.model.RefusalReason
import tanagerlane.pace.PaceRegime
import tanagerlane.runtime.StoreCall
import tanagerlane.serving.AttemptEnd
import tanagerlane.serving.RouteKind
import tanagerlane.streams.AnswerBudget
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Counters and histograms of a process that calls targets directly. */
internal class DirectMetrics(
    private val registry: MeterRegistry,
) {
    private val attempts =
        AttemptEnd.entries.associateWith {
            Counter.builder("tanagerlane.attempts.ended").tag("end", it.name.lowercase()).register(registry)
        }
    private val refusals =
        RefusalReason.entries.associateWith {
            Counter.builder("tanagerlane.requests.refused").tag("reason", it.name.lowercase()).register(registry)
        }
    private val answers =
        RouteKind.entries.associateWith {
            Timer
                .builder("tanagerlane.requests.answered")
                .tag("kind", it.name.lowercase())
                .publishPercentileHistogram()
                .register(registry)
        }

    private val continuations =
        ItemContinuation.entries.associateWith {
            Counter.builder("tanagerlane.items.continued").tag("outcome", it.name.lowercase()).register(registry)
        }
    private val storeCalls =
        StoreCall.entries.associateWith {
            Counter.builder("tanagerlane.store.calls").tag("call", it.name.lowercase()).register(registry)
        }

    /** Batch items that were stopped to free places at targets for online requests. */
    val yielded: Counter = Counter.builder("tanagerlane.items.yielded").register(registry)

    /** Results of batch items that were added to the result lists of their jobs. */
    val listed: Counter = Counter.builder("tanagerlane.items.listed").register(registry)

    /** Targets that a request left for a place at another one because they were silent. */
    val silentTargetsLeft: Counter = silentTargets("left")

    /** Silent targets with which a request stayed, because it had no place elsewhere. */
    val silentTargetsKept: Counter = silentTargets("kept")

    /** Requests that were lost because their target crashed. */
    val crashEvidence: Counter = Counter.builder("tanagerlane.requests.lost.in.crashes").register(registry)

    /** Parts of prompts that are quarantined, or were until lately. */
    val quarantinedParts: AtomicInteger = registry.gauge("tanagerlane.prompts.quarantined", AtomicInteger())

    /** Requests that are quarantined, or were until lately. */
    val quarantinedRequests: AtomicInteger = registry.gauge("tanagerlane.requests.quarantined", AtomicInteger())

    /** Shows what of [budget] is held, and how many answers were ended because it was exceeded. */
    fun observe(budget: AnswerBudget) {
        registry.gauge("tanagerlane.answers.held.bytes", budget) { it.heldBytes.toDouble() }
        FunctionCounter
            .builder("tanagerlane.answers.over.budget", budget) { it.endedAnswers.toDouble() }
            .register(registry)
    }

    /** Shows the number of [evacuations] in force. */
    fun observe(evacuations: EvacuationDirectory) {
        registry.gauge("tanagerlane.evacuations.in.force", evacuations) {
            it.inForce.since.size
                .toDouble()
        }
    }

    /** Shows how many targets are limited, and how often a target was passed over on account of its limit. */
    fun observe(pace: FleetPace) {
        for (regime in PaceRegime.entries) {
            Gauge
                .builder("tanagerlane.targets.paced", pace) { it.count(regime).toDouble() }
                .tag("limit", regime.name.lowercase())
                .register(registry)
        }
        for ((limit, count) in mapOf("declared" to FleetPace::forbidden, "adaptive" to FleetPace::heldBack)) {
            FunctionCounter
                .builder("tanagerlane.targets.passed.over", pace) { count(it).toDouble() }
                .tag("limit", limit)
                .register(registry)
        }
    }

    /** Shows how many requests wait in [queue] for a place at a target. */
    fun observe(queue: WaitingRequests) {
        registry.gauge("tanagerlane.requests.waiting", queue) { it.size.toDouble() }
    }

    /** Records that a request has waited for [time] for a place, with the given [outcome]. */
    fun waited(
        outcome: String,
        time: Duration,
    ) {
        Timer
            .builder("tanagerlane.requests.waited")
            .tag("outcome", outcome)
            .publishPercentileHistogram()
            .register(registry)
            .record(time.toJavaDuration())
    }

    private fun silentTargets(decision: String) =
        Counter.builder("tanagerlane.targets.silent").tag("decision", decision).register(registry)

    /** Returns the counter of attempts that ended with [end]. */
    fun attempts(end: AttemptEnd): Counter = attempts.getValue(end)

    /** Returns the counter of streams that callers resumed, by how the version that began them was found. */
    fun resumed(outcome: String): Counter =
        Counter.builder("tanagerlane.streams.resumed").tag("outcome", outcome).register(registry)

    /** Counts reads of the targets that have to show with which version a resumed stream began. */
    val targetConfirmations: Counter = Counter.builder("tanagerlane.targets.confirmations").register(registry)

    /** Returns the counter of runs of batch items with earlier events that go on as [continuation] tells. */
    fun continuations(continuation: ItemContinuation): Counter = continuations.getValue(continuation)

    /** Returns the counter of calls of the object API of the kind [call]. */
    fun storeCalls(call: StoreCall): Counter = storeCalls.getValue(call)

    /** Returns the counter of requests that were refused for [reason]. */
    fun refused(reason: RefusalReason): Counter = refusals.getValue(reason)

    /** Records that a request on a route of [kind] was answered [age] after its arrival. */
    fun answered(
        kind: RouteKind,
        age: Duration,
    ): Unit = answers.getValue(kind).record(age.toJavaDuration())
}
