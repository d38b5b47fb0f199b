package tanagerlane.pace

import tanagerlane.model.TargetName
import kotlin.time.Duration

/**
 * What limits the requests to a target.
 *
 * @property coldTime time for which it is taken to stay cold; zero if it is not cold
 * @property isColdTimeTold whether its registration tells how long it stays cold, as far as a declared rate needs it
 * @property window requests that all processes may have in flight, or null if only its places limit them
 * @property isHeld whether it is held back after failures until a probe is answered
 */
public data class TargetState(
    val target: TargetName,
    val coldTime: Duration,
    val isColdTimeTold: Boolean,
    val window: Int?,
    val isHeld: Boolean,
) {
    /** What limits it. */
    val regime: PaceRegime
        get() =
            when {
                isHeld -> PaceRegime.HELD
                coldTime > Duration.ZERO -> PaceRegime.COLD
                window != null -> PaceRegime.RAMPING
                else -> PaceRegime.FULL
            }
}
