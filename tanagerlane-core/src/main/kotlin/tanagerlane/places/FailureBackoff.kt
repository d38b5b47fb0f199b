package tanagerlane.places

import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Holds a target back after a failure for a backoff that doubles with each consecutive failure.
 *
 * @param initial time for which a target is avoided after the first of consecutive failures
 * @param maximum upper limit of the time for which a target is avoided
 */
public class FailureBackoff(
    private val initial: Duration,
    private val maximum: Duration,
) : TargetPacing {
    private val failures = HashMap<TargetName, FailureStreak>()

    override fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    ) {
        if (failures.isNotEmpty()) {
            failures.keys.retainAll(targets.mapTo(HashSet()) { it.name })
        }
    }

    override fun admission(
        target: DirectTarget,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision = if (isInBackoff(target.name, now)) PaceDecision.HELD else PaceDecision.ADMITTED

    override fun succeeded(target: TargetName) {
        failures.remove(target)
    }

    override fun failed(
        target: TargetName,
        now: Instant,
    ) {
        val streak = failures[target]
        if (streak?.isSilent == true && streak.backoffUntil > now) {
            return
        }
        val length = (streak?.length ?: 0) + 1
        val backoff = initial * (1 shl (length - 1).coerceAtMost(MAXIMUM_DOUBLINGS))
        failures[target] = FailureStreak(length, backoffUntil = now + minOf(backoff, maximum))
    }

    /**
     * Most requests that find a target silent during its backoff were sent before it, so they do not lengthen it.
     *
     * Neither do those that leave it then.
     */
    override fun foundSilent(
        target: TargetName,
        now: Instant,
    ) {
        if (!isInBackoff(target, now)) {
            failed(target, now)
        }
        failures.computeIfPresent(target) { _, streak -> streak.copy(isSilent = true) }
    }

    private fun isInBackoff(
        target: TargetName,
        now: Instant,
    ): Boolean = failures[target]?.let { it.backoffUntil > now } ?: false

    /** [isSilent] tells whether the target was found silent since the last failure that counted. */
    private data class FailureStreak(
        val length: Int,
        val backoffUntil: Instant,
        val isSilent: Boolean = false,
    )

    private companion object {
        const val MAXIMUM_DOUBLINGS = 6
    }
}
