package tanagerlane.direct

import com.github.michaelbull.result.get
import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.TargetList
import tanagerlane.store.ObjectVersion
import tanagerlane.views.ObjectView
import tanagerlane.views.RecentNames
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The targets that the object API lists, of which those that may be sent requests are passed on.
 *
 * @param evacuations evacuations of failure domains, or null if there are none in this deployment
 * @param resumption is told the targets in service, also those that are leaving or evacuated, and those that were
 */
internal class TargetDirectory(
    private val source: ViewSource<DirectTarget>,
    private val loadBalancer: LoadBalancer,
    private val client: TargetClient,
    private val evacuations: EvacuationDirectory?,
    private val resumption: StreamResumption,
    private val now: () -> Instant,
) {
    private val decodedObjects = DecodedObjects(source)
    private val listedNames = RecentNames(NAMES_LIFETIME)
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
        recordPassed(view)
        use(view.at)
    }

    /** Records targets that have left before this process could list them. */
    private fun recordPassed(view: ObjectView) {
        val passed = view.change.written.mapNotNull { source.decode(it).get() }
        val areKnown = view.change.isContinuous && listedNames.containsAll(view.change.unknownDeletions, now())
        listedNames.add(view.objects.keys + view.change.written.map { it.name }, now())
        resumption.observePassed(passed, areKnown)
    }

    /** Stops the use of targets that are evacuated, or whose registration lapsed too long ago. */
    fun expire(): Unit = use(at = null)

    private fun use(at: ObjectVersion?) {
        val usable = targets.usable(now())
        resumption.observe(usable, at)
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
        /** Time for which names of targets are kept; longer than updates from other processes reach back. */
        val NAMES_LIFETIME = 60.seconds
        val logger = LoggerFactory.getLogger(TargetDirectory::class.java)
    }
}
