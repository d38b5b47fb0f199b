package tanagerlane.standin.engine

import tanagerlane.model.RequestId
import kotlin.time.Duration

/**
 * An engine that batches continuously, knows no priorities and starts requests as they come.
 *
 * The caller passes the time: each [step] says how long it takes. Not safe for use by several threads.
 */
public class SimulatedEngine(
    private val settings: EngineSettings,
) {
    private val waiting = ArrayDeque<Sequence>()
    private val running = ArrayList<Sequence>()
    private val cache = PrefixCache(settings.cacheBlocks)

    /** Sequences that run. */
    public val runningCount: Int get() = running.size

    /** Sequences that wait. */
    public val waitingCount: Int get() = waiting.size

    /** Most recent changes of the prefix cache, oldest first. */
    public val cacheEvents: List<CacheEvent> get() = cache.events

    /** Puts [request] at the end of the line. */
    public fun submit(request: EngineRequest) {
        waiting.addLast(Sequence(request, GeneratedText(settings.seed, request.prompt)))
    }

    /** Drops the sequence [id]; returns false when there is none. */
    public fun cancel(id: RequestId): Boolean {
        val waited = waiting.removeAll { it.request.id == id }
        val ran = running.removeAll { it.request.id == id }
        return waited || ran
    }

    /** Runs one step, or returns null when there is nothing to do. */
    public fun step(): EngineStep? {
        admit()
        if (running.isEmpty()) {
            return null
        }
        val duration = settings.stepTime + settings.sequenceTime * (running.size - 1) + prefill()
        val tokens = running.filter { it.remainingPrefill == 0 }.map { it.next() }
        running.removeAll { it.finished }
        return EngineStep(duration, tokens)
    }

    private fun admit() {
        while (running.size < settings.maximumSequences && waiting.isNotEmpty()) {
            val sequence = waiting.removeFirst()
            sequence.remainingPrefill -= cache.admit(sequence.request.prompt)
            running.add(sequence)
        }
    }

    private fun prefill(): Duration {
        var budget = settings.prefillTokensPerStep
        running.forEach { sequence ->
            val taken = minOf(budget, sequence.remainingPrefill)
            sequence.remainingPrefill -= taken
            budget -= taken
        }
        return settings.prefillTime * (settings.prefillTokensPerStep - budget)
    }

    private class Sequence(
        val request: EngineRequest,
        val text: GeneratedText,
    ) {
        var remainingPrefill = request.prompt.size + request.resumeTokens
        private var produced = request.resumeTokens

        val finished: Boolean get() = produced >= request.maximumTokens

        fun next(): EngineToken {
            val number = produced
            produced += 1
            return EngineToken(request.id, number, text.token(number), finished)
        }
    }
}
