package tanagerlane.pace

import tanagerlane.model.HostName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The requests that all processes may have in flight at one target that has just been registered or has failed.
 *
 * The window doubles with each round of answers in time; once a window was too much, it doubles up to half of that one
 * and grows by one in each round from there on. While it is smaller than the number of places, it is halved by a late
 * answer and by a failure. Several failures without an answer between them hold the target back until a probe was
 * answered. Failures that only one other process
 * reports may have their cause there, so they halve the window no further than once. Not thread-safe.
 */
internal class TargetWindow(
    private val settings: PaceSettings,
    private val places: Int,
    window: Double,
    now: Instant,
) {
    private val failedBy = HashSet<HostName>()
    private var failures = 0
    private var ownFailures = 0
    private var consecutiveHolds = 0
    private var heldUntil = Instant.DISTANT_PAST
    private var wasFoundSilent = false
    private var lastFailureAt = now
    private var shrunkAt = Instant.DISTANT_PAST
    private var fullSince: Instant? = null

    /** Window up to which it doubles in each round of answers. */
    private var doublesUpTo = places.toDouble()

    /** Time of the last observation. */
    var changedAt = now
        private set

    /** Requests that all processes together may have in flight. */
    var size = window.coerceIn(1.0, places.toDouble())
        private set

    /** Whether the target is held back until a probe is answered. */
    var isProbed = false
        private set

    /**
     * Whether the window is as large as the number of places.
     *
     * A target that has been answering is not limited for a single failure: a few answers that are lost would keep a
     * part of its places idle for seconds.
     */
    val isWide: Boolean get() = size >= places && !isProbed

    /** Whether the target bears as many requests as it has places. */
    val isFull: Boolean get() = fullSince != null

    /** Records [answers] of which [late] began late; [isOwn] if this process has received them. */
    fun answered(
        answers: Long,
        late: Long,
        isOwn: Boolean,
        now: Instant,
    ) {
        failedBy.clear()
        failures = 0
        consecutiveHolds = 0
        if (isOwn) {
            ownFailures = 0
        }
        if (isProbed) {
            isProbed = false
            heldUntil = minOf(heldUntil, now)
            doublesUpTo = places.toDouble()
            resize(settings.firstWindow, now)
        } else if (late > 0 && !isWide) {
            changedAt = now
            shrink(now)
        } else {
            val growth = if (size < doublesUpTo) minOf(answers.toDouble(), size) else minOf(answers / size, 1.0)
            resize(size + growth, now)
        }
    }

    /** Records that a request has failed at [host]; [isOwn] if that is this process. */
    fun failed(
        host: HostName,
        isOwn: Boolean,
        now: Instant,
    ) {
        failedBy += host
        failures++
        lastFailureAt = now
        changedAt = now
        if (isOwn) ownFailures++
        val isConfirmed = ownFailures > 1 || failedBy.size > 1
        if (isConfirmed && failures >= FAILURES_UNTIL_PROBED) {
            isProbed = true
            fullSince = null
            size = 1.0
        } else if (!isWide && (isOwn || isConfirmed || size > places * LONE_SHARE)) {
            shrink(now)
        }
        if (isOwn || isConfirmed) {
            hold(now)
        }
    }

    /** Records that a request of this process has found the target silent, after the failure that this counts as. */
    fun foundSilent() {
        wasFoundSilent = true
    }

    /** Records that the target has refused a request of this process, which waits before it sends the next one. */
    fun rejected(now: Instant) {
        if (isWide) {
            return
        }
        lastFailureAt = now
        changedAt = now
        shrink(now)
        hold(now)
    }

    /** Ends limits that have lasted too long without a failure; returns whether the window is still of use. */
    fun expire(now: Instant): Boolean {
        val quiet = now - lastFailureAt
        if (isProbed && quiet > settings.heldTime) {
            isProbed = false
            lastFailureAt = now
            resize(settings.firstWindow, now)
        } else if (!isProbed && quiet > settings.limitTime) {
            resize(places.toDouble(), now)
        }
        return fullSince?.let { now - it <= settings.linger } ?: true
    }

    /** Whether the target is held back after a failure. */
    fun isHeld(now: Instant): Boolean = now < heldUntil

    /** Whether the target is held back and was found silent, so that requests which fail now have left that silence. */
    fun isHeldSilent(now: Instant): Boolean = wasFoundSilent && isHeld(now)

    /** Returns the time since the hold after the last failure has ended; negative before its end. */
    fun timeSinceHold(now: Instant): Duration = now - heldUntil

    /** Returns the time since the window has changed or a hold has ended, whichever was later. */
    fun timeSinceChange(now: Instant): Duration = now - maxOf(changedAt, heldUntil)

    /** Requests that fail during a hold were sent before it, so only the first failure lengthens the next hold. */
    private fun hold(now: Instant) {
        if (now >= heldUntil) {
            val hold = settings.initialHold * (1 shl consecutiveHolds.coerceAtMost(MAXIMUM_DOUBLINGS))
            heldUntil = now + minOf(hold, settings.maximumHold)
            wasFoundSilent = false
            consecutiveHolds++
        }
    }

    /** Several signs of the same overload halve the window only once. */
    private fun shrink(now: Instant) {
        if (now - shrunkAt >= settings.initialHold) {
            fullSince = null
            size = (size / 2).coerceAtLeast(1.0)
            doublesUpTo = size
            shrunkAt = now
        }
    }

    private fun resize(
        to: Double,
        now: Instant,
    ) {
        if (to != size || !isFull) changedAt = now
        size = to.coerceIn(1.0, places.toDouble())
        if (size >= places) {
            fullSince = fullSince ?: now
        }
    }

    companion object {
        private const val MAXIMUM_DOUBLINGS = 6

        /** Failures without an answer between them after which a target is probed. */
        private const val FAILURES_UNTIL_PROBED = 3

        /** Share of the places to which failures that only one other process reports reduce a window. */
        private const val LONE_SHARE = 0.5

        /** Returns the window of [target] when it is at full pace. */
        fun full(
            target: DirectTarget,
            settings: PaceSettings,
            now: Instant,
        ) = TargetWindow(settings, target.places, target.places.toDouble(), now)
    }
}
