package tanagerlane.serving

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What to do after an attempt that gave no answer. */
public sealed interface NextStep {
    /** Try another target. */
    public data object TryElsewhere : NextStep

    /** Pass the target's own error on. */
    public data object ForwardError : NextStep

    /** Give the request up. */
    public data class GiveUp(
        val reason: RefusalReason,
        val runState: RunState,
    ) : NextStep

    public companion object {
        private const val MAXIMUM_REFUSALS = 4
        private val SHORTEST_ATTEMPT = 20.milliseconds

        /**
         * Decides what follows [end].
         *
         * @param handed targets that may have run the request, this one included
         * @param refusals targets that certainly did not run it, this one included
         * @param remaining time until the deadline
         */
        public fun after(
            end: AttemptEnd,
            route: ServingRoute,
            handed: Int,
            refusals: Int,
            remaining: Duration,
        ): NextStep {
            val hasTime = remaining >= SHORTEST_ATTEMPT
            val mayRepeat = handed == 0 || (route.isRepeatable && handed < route.attempts)
            return when {
                end == AttemptEnd.NOT_RUN && hasTime && mayRepeat && refusals < MAXIMUM_REFUSALS -> TryElsewhere
                end == AttemptEnd.NOT_RUN && handed == 0 -> GiveUp(RefusalReason.OVERLOADED, RunState.NOT_RUN)
                end != AttemptEnd.NOT_RUN && hasTime && mayRepeat -> TryElsewhere
                end == AttemptEnd.FAILED -> ForwardError
                hasTime -> GiveUp(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
                else -> GiveUp(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN)
            }
        }
    }
}
