package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.TargetList
import tanagerlane.views.ObjectView
import kotlin.time.Instant

/**
 * The targets that the object API lists, of which those that may be sent requests are passed on.
 *
 * @param evacuations evacuations of failure domains, or null if there are none in this deployment
 * @param onUsable called with the targets in service, also those that are leaving or evacuated
 */
internal class TargetDirectory(
    source: ViewSource<DirectTarget>,
    private val loadBalancer: LoadBalancer,
    private val client: TargetClient,
    private val evacuations: EvacuationDirectory?,
    private val onUsable: (List<DirectTarget>) -> Unit,
    private val now: () -> Instant,
) {
    private val decodedObjects = DecodedObjects(source)
    private var targets = TargetList()

    /** Number of listed targets. */
    val size: Int get() = targets.listed.size

    /** Replaces the listed targets by those of [view]. */
    fun update(view: ObjectView) {
        val updated = targets.updated(decodedObjects.decode(view), now())
        if (updated.listed != targets.listed) {
            logChanges(updated.listed.values, view)
        }
        targets = updated
        expire()
    }

    /** Stops the use of targets that are evacuated, or whose registration lapsed too long ago. */
    fun expire() {
        val usable = targets.usable(now())
        onUsable(usable)
        loadBalancer.configure(if (evacuations == null) usable else evacuations.permitted(usable), now())
        client.keepOnly(usable.mapTo(HashSet()) { it.address })
    }

    private fun logChanges(
        listed: Collection<DirectTarget>,
        view: ObjectView,
    ) {
        val before = targets.listed.values.toSet()
        val added =
            listed
                .filter { it !in before }
                .joinToString(",") { "${it.name}@${it.version}${if (it.leaving) "(leaving)" else ""}" }
        val removed = (targets.listed.keys - listed.map { it.name }.toSet()).joinToString(",")
        logger.info("targets changed version={} changed=[{}] gone=[{}] listed={}", view.at, added, removed, listed.size)
    }

    private companion object {
        val logger = LoggerFactory.getLogger(TargetDirectory::class.java)
    }
}
