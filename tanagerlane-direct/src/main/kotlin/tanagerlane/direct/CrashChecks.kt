package tanagerlane.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Finds out whether targets at which requests were lost have crashed, and so refuse connections.
 *
 * A crash ends all requests at a target at once; they share one check.
 */
internal class CrashChecks(
    private val client: TargetClient,
    private val scope: CoroutineScope,
) {
    private val latest = HashMap<TargetName, Check>()

    /** Starts to check [target], at which a request was lost at [now], unless a check of it began shortly before. */
    fun check(
        target: DirectTarget,
        now: Instant,
    ): Deferred<Boolean> {
        latest[target.name]?.takeIf { now - it.startedAt < SHARING_TIME }?.let { return it.hasCrashed }
        latest.values.removeIf { now - it.startedAt >= SHARING_TIME }
        val check = Check(now, scope.async { client.isRefusing(target) })
        latest[target.name] = check
        return check.hasCrashed
    }

    private class Check(
        val startedAt: Instant,
        val hasCrashed: Deferred<Boolean>,
    )

    private companion object {
        /** Time after the start of a check in which its result holds for other requests, too. */
        val SHARING_TIME = 20.milliseconds
    }
}
