package tanagerlane.admission

import tanagerlane.places.DirectTarget
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** A target that runs requests in its places, queues a quarter of them more, and rejects others. */
internal class ReplayTarget(
    val target: DirectTarget,
    private val clock: ReplayClock,
    private val random: Random,
) {
    /** Whether the target has failed. */
    var isLost = false
    private var running = 0
    private val waiting = ArrayDeque<Request>()

    fun receive(request: Request) {
        when {
            isLost -> clock.after(ReplayFleet.LINK) { request.onRejected(true) }
            running < target.places -> start(request)
            waiting.size < target.places * ReplayFleet.TARGET_QUEUE_SHARE -> waiting += request
            else -> clock.after(ReplayFleet.LINK) { request.onRejected(false) }
        }
    }

    private fun start(request: Request) {
        running++
        clock.after(ReplayFleet.FIRST_EVENT) { if (!isLost) request.onBegun() }
        clock.after((ReplayFleet.MEAN_SECONDS * (0.7 + 0.6 * random.nextDouble())).seconds) {
            running--
            request.onEnded(!isLost)
            if (!isLost) waiting.removeFirstOrNull()?.let(::start)
        }
    }

    /**
     * A request with what is called when its answer begins, and when it has ended or was rejected.
     *
     * @property onEnded called with whether it ran to its end
     * @property onRejected called with whether the target has failed
     */
    class Request(
        val onBegun: () -> Unit,
        val onEnded: (Boolean) -> Unit,
        val onRejected: (Boolean) -> Unit,
    )
}
