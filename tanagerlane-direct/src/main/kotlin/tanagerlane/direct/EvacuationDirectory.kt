package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.evacuation.EvacuationGrace
import tanagerlane.evacuation.Evacuations
import tanagerlane.model.FailureDomain
import tanagerlane.places.DirectTarget
import tanagerlane.views.ObjectView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * The evacuations that the object API lists.
 *
 * @param bound time within which an evacuation has to be in force
 * @param configuredDomains failure domains that exist whether they have targets or not
 */
internal class EvacuationDirectory(
    source: ViewSource<DomainEvacuation>,
    bound: Duration,
    private val configuredDomains: Set<FailureDomain>,
    private val now: () -> Instant,
) {
    private val decodedObjects = DecodedObjects(source)
    private val grace = EvacuationGrace(bound)
    private var ranAt = now()

    /** Time from which the evacuations have to be confirmed before requests are sent. */
    private var runningSince = ranAt
    private var currentAt: Instant? = null
    private var hasCopy = false
    private var isAfterPause = false
    private val reportedUnknown = HashSet<FailureDomain>()

    /** Evacuations in force. */
    var inForce = Evacuations()
        private set

    /** Whether requests may be sent by the evacuations that are known. */
    val maySend: Boolean
        get() {
            noticePause()
            val time = now()
            return grace.maySend(time - runningSince, currentAt?.let { time - it }, hasCopy)
        }

    /** Replaces the evacuations by those of [view], which was current [age] ago. */
    fun update(
        view: ObjectView,
        age: Duration,
    ) {
        noticePause()
        val domains = decodedObjects.decode(view).filterNot { it.isEnding }.map { it.domain }
        val updated = inForce.updated(domains, now())
        if (updated != inForce) {
            logger.info(
                "evacuations changed version={} begun={} ended={} in_force={}",
                view.at,
                updated.since.keys - inForce.since.keys,
                inForce.since.keys - updated.since.keys,
                updated.since.keys,
            )
        }
        inForce = updated
        reportedUnknown.retainAll(updated.since.keys)
        if (!isAfterPause || now() - runningSince > BACKLOG_TIME) {
            currentAt = now() - age
            hasCopy = true
        }
    }

    /** Returns those of [targets] to which new requests may be sent. */
    fun permitted(targets: List<DirectTarget>): List<DirectTarget> {
        if (targets.isNotEmpty() && inForce.since.isNotEmpty()) {
            reportUnknown(targets.mapTo(HashSet(configuredDomains)) { it.failureDomain })
        }
        noticePause()
        return inForce.permitted(targets)
    }

    private fun reportUnknown(known: Set<FailureDomain>) {
        for (domain in inForce.unknown(known).filter(reportedUnknown::add)) {
            logger.warn("evacuation without effect domain={} cause=unknown_failure_domain known={}", domain, known)
        }
    }

    /** Called at least at every tick of the process, so that a longer time between two calls shows that it was paused. */
    private fun noticePause() {
        val time = now()
        if (time - ranAt > grace.pauseThreshold) {
            runningSince = time
            isAfterPause = true
            hasCopy = false
            logger.info("process was paused for={} evacuations_age={}", time - ranAt, currentAt?.let { time - it })
        }
        ranAt = time
    }

    private companion object {
        /** Time after a pause in which messages may be read that were received, and had become old, during it. */
        val BACKLOG_TIME = 100.milliseconds
        val logger = LoggerFactory.getLogger(EvacuationDirectory::class.java)
    }
}
