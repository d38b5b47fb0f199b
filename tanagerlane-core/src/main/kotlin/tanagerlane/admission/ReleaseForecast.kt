package tanagerlane.admission

import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Forecasts when the running requests of this process end, from their ages and from the durations of earlier requests of
 * their routes.
 *
 * Expected ends are counted in steps of 20 ms, so that the cost of a forecast depends on the longest duration and not on
 * the number of requests. Not thread-safe.
 */
internal class ReleaseForecast(
    private val initialDuration: Duration,
) {
    private val durations = HashMap<String, Duration>()
    private val endsByStep = TreeMap<Long, Int>()
    private val running = HashMap<Long, Run>()
    private var totalDuration = Duration.ZERO

    /** Number of requests that this process has at targets. */
    val runningCount: Int get() = running.size

    /** Ends per second at present, or 0 if nothing runs. */
    val perSecond: Double
        get() = if (running.isEmpty()) 0.0 else running.size / meanDuration.toDouble(DurationUnit.SECONDS)

    /** Mean of the durations expected of the running requests, or the initial one if nothing runs. */
    val meanDuration: Duration
        get() = if (running.isEmpty()) initialDuration else maxOf(totalDuration / running.size, STEP)

    /** Records that the request with the given [number] was sent to a target. */
    fun started(
        number: Long,
        route: String,
        now: Instant,
    ) {
        val duration = durations[route] ?: initialDuration
        val step = stepOf(now + duration)
        endsByStep.merge(step, 1, Int::plus)
        running.put(number, Run(route, now, step, duration))?.let(::forget)
        totalDuration += duration
    }

    /**
     * Records that a request has ended.
     *
     * @param isTypical whether it ran to its end, so that its duration tells something about others
     */
    fun ended(
        number: Long,
        isTypical: Boolean,
        now: Instant,
    ) {
        val run = running.remove(number) ?: return
        forget(run)
        if (isTypical) {
            val known = durations[run.route]
            val duration = now - run.startedAt
            durations[run.route] = if (known == null) duration else known + (duration - known) * LEARNING_RATE
        }
    }

    /** Returns the time until [count] of the running requests have ended; infinite if nothing runs. */
    fun timeUntil(
        count: Int,
        now: Instant,
    ): Duration {
        if (running.isEmpty()) {
            return Duration.INFINITE
        }
        // Each place runs one request after the other, so all places are free again after a mean duration.
        val rounds = (count - 1) / running.size
        var missing = count - rounds * running.size
        val current = stepOf(now)
        val overdue = endsByStep.headMap(current).values.sum()
        if (missing <= overdue) {
            return meanDuration * rounds + OVERDUE_TIME * missing / (overdue + 1)
        }
        missing -= overdue
        for ((step, ends) in endsByStep.tailMap(current)) {
            missing -= ends
            if (missing <= 0) {
                return meanDuration * rounds + STEP * (step - current + 1).toDouble()
            }
        }
        return meanDuration * (rounds + 1)
    }

    private fun forget(run: Run) {
        endsByStep.computeIfPresent(run.step) { _, ends -> (ends - 1).takeIf { it > 0 } }
        totalDuration -= run.expected
    }

    private fun stepOf(time: Instant): Long = time.toEpochMilliseconds() / STEP.inWholeMilliseconds

    private class Run(
        val route: String,
        val startedAt: Instant,
        val step: Long,
        val expected: Duration,
    )

    private companion object {
        val STEP = 20.milliseconds

        /** Time within which requests end that run for longer than expected. */
        val OVERDUE_TIME = 150.milliseconds
        const val LEARNING_RATE = 0.05
    }
}
