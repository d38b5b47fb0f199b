package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.message.LoadReport
import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** The sidecars that an entry is connected to, with their loads. Safe for use by several threads. */
public class SidecarDirectory(
    private val policy: RoutingPolicy = RoutingPolicy(),
) {
    private val targets = HashMap<TargetName, RoutedTarget>()

    /** Replaces the declared targets by [declared]; what is known of those that stay is kept. */
    @Synchronized
    public fun declare(declared: Collection<Target>) {
        targets.keys.retainAll(declared.map { it.name }.toSet())
        declared.forEach { target -> targets.getOrPut(target.name) { RoutedTarget(target) }.declared = target }
    }

    /** Notes that [target] is connected. */
    @Synchronized
    public fun connected(
        target: TargetName,
        incarnation: Incarnation,
    ) {
        targets[target]?.incarnation = incarnation
    }

    /** Notes that [target] is not connected; it gets nothing until it is. */
    @Synchronized
    public fun disconnected(target: TargetName) {
        targets[target]?.incarnation = null
    }

    /** Notes a sidecar's own report. */
    @Synchronized
    public fun reported(
        report: LoadReport,
        now: Instant,
    ) {
        targets[report.target]?.take(report, now)
    }

    /** Notes which targets the platform's host list shows as leaving; the list only ever takes targets out. */
    @Synchronized
    public fun listedLeaving(leaving: Set<TargetName>): Unit =
        targets.values.forEach { it.isListedLeaving = it.declared.name in leaving }

    /** Applies [choose] to the targets that may take work for [query] and counts one more in flight for its choice. */
    @Synchronized
    internal fun claim(
        query: RouteQuery,
        now: Instant,
        choose: (List<RoutedTarget>) -> RoutedTarget?,
    ): Route? {
        val able = targets.values.filter { it.mayTakeWork(now, policy) && it.serves(query) }
        val untried = able.filter { it.declared.name !in query.tried }
        val chosen = choose(untried.ifEmpty { able }) ?: return null
        val incarnation = chosen.incarnation ?: return null
        chosen.inFlight++
        return Route(chosen.declared.name, incarnation)
    }

    @Synchronized
    internal fun release(target: TargetName) {
        val known = targets[target] ?: return
        known.inFlight = maxOf(known.inFlight - 1, 0)
    }

    private fun RoutedTarget.serves(query: RouteQuery): Boolean =
        when (query) {
            is RouteQuery.Chat -> serves(query.model)
            is RouteQuery.Call -> serves(query.service)
        }
}
