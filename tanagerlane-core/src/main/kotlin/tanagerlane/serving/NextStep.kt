package tanagerlane.serving

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What to do after an attempt that ended without an answer that can be passed on. */
public sealed interface NextStep {
    /** Retry at another target. */
    public data object TryElsewhere : NextStep

    /** Forward the error of the target to the caller. */
    public data object ForwardError : NextStep

    /** Give up and refuse the request with [reason]; [runState] states whether it may have run. */
    public data class GiveUp(
        val reason: RefusalReason,
        val runState: RunState,
    ) : NextStep

    public companion object {
        private const val MAXIMUM_REFUSALS = 4
        private val MINIMUM_ATTEMPT_TIME = 20.milliseconds

        /**
         * Returns the step that follows an attempt with the outcome [end].
         *
         * @param handed number of targets that may have run the request, including the latest one
         * @param refusals number of targets that certainly did not run it, including the latest one
         * @param remaining time until the deadline
         */
        public fun after(
            end: AttemptEnd,
            route: ServingRoute,
            handed: Int,
            refusals: Int,
            remaining: Duration,
        ): NextStep {
            val hasTime = remaining >= MINIMUM_ATTEMPT_TIME
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
