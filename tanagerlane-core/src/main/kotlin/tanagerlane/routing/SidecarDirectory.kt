package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.message.LoadReport
import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** The sidecars of the declared targets, with their connections and loads. Thread-safe. */
public class SidecarDirectory(
    private val policy: RoutingPolicy = RoutingPolicy(),
) {
    private val targets = HashMap<TargetName, RoutedTarget>()

    /** Replaces the declared targets with [declared]; the state of targets that remain declared is kept. */
    @Synchronized
    public fun declare(declared: Collection<Target>) {
        targets.keys.retainAll(declared.map { it.name }.toSet())
        declared.forEach { target -> targets.getOrPut(target.name) { RoutedTarget(target) }.declared = target }
    }

    /** Records that the sidecar of [target] is connected, with its [incarnation]. */
    @Synchronized
    public fun connected(
        target: TargetName,
        incarnation: Incarnation,
    ) {
        targets[target]?.incarnation = incarnation
    }

    /** Records that the sidecar of [target] is disconnected; it receives no requests until it connects again. */
    @Synchronized
    public fun disconnected(target: TargetName) {
        targets[target]?.incarnation = null
    }

    /** Records a load report that a sidecar sent, received at [now]. */
    @Synchronized
    public fun reported(
        report: LoadReport,
        now: Instant,
    ) {
        targets[report.target]?.update(report, now)
    }

    /** Records which targets the host list of the platform shows as leaving; the list only ever excludes targets. */
    @Synchronized
    public fun listedLeaving(leaving: Set<TargetName>): Unit =
        targets.values.forEach { it.isListedLeaving = it.declared.name in leaving }

    /** Applies [choose] to the targets that accept [query] and counts one more request in flight to the chosen one. */
    @Synchronized
    internal fun claim(
        query: RouteQuery,
        now: Instant,
        choose: (List<RoutedTarget>) -> RoutedTarget?,
    ): Route? {
        val eligible = targets.values.filter { it.isAvailable(now, policy) && it.serves(query) }
        val untried = eligible.filter { it.declared.name !in query.tried }
        val chosen = choose(untried.ifEmpty { eligible }) ?: return null
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
