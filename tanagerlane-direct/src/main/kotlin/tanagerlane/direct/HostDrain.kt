package tanagerlane.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.model.HostName
import tanagerlane.views.ObjectView
import kotlin.time.Duration.Companion.milliseconds

/**
 * Drains this process when operators order the removal of its host, and reports when that is done.
 *
 * @param isLeaving whether this process is giving up its work
 * @param startLeaving makes this process give up its work
 * @param hasWork whether this process has work to finish
 */
internal class HostDrain(
    private val host: HostName,
    private val deployment: Deployment,
    private val scope: CoroutineScope,
    private val isLeaving: () -> Boolean,
    private val startLeaving: () -> Unit,
    private val hasWork: () -> Boolean,
) {
    private val decodedRemovals = DecodedObjects(deployment.removals)

    /** Obeys an order for this host among those of [view]. */
    fun update(view: ObjectView) {
        val order = decodedRemovals.decode(view).firstOrNull { it.host == host && !it.isDone } ?: return
        if (!isLeaving()) {
            logger.info("draining host for removal host={} version={}", order.host, view.at)
            startLeaving()
            scope.launch { drain() }
        }
    }

    private suspend fun drain() {
        while (hasWork()) {
            delay(CHECK_INTERVAL)
        }
        while (!deployment.reportDrained(host)) {
            delay(RETRY_PAUSE)
        }
        logger.info("host drained host={}", host)
    }

    private companion object {
        val CHECK_INTERVAL = 20.milliseconds
        val RETRY_PAUSE = 300.milliseconds
        val logger = LoggerFactory.getLogger(HostDrain::class.java)
    }
}
