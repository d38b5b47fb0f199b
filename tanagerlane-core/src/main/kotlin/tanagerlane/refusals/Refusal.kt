package tanagerlane.refusals

import tanagerlane.message.RefusalTally
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * One kind of refusal within one minute, by which refusals are counted.
 *
 * @property minute minutes since the epoch
 * @property workspace a declared workspace, or null when the request had no valid key
 */
public data class Refusal(
    val minute: Long,
    val workspace: WorkspaceName?,
    val reason: RefusalReason,
    val runState: RunState,
) {
    internal fun tally(count: Long) = RefusalTally(minute, workspace, reason, runState, count)

    public companion object {
        /** Returns the minute since the epoch that contains [now]. */
        public fun minuteOf(now: Instant): Long = now.epochSeconds.floorDiv(1.minutes.inWholeSeconds)

        /** Returns the kind of refusal that [tally] counts. */
        public fun of(tally: RefusalTally): Refusal =
            Refusal(tally.minute, tally.workspace, tally.reason, tally.runState)
    }
}
