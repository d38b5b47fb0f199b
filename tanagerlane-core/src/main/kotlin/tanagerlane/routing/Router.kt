package tanagerlane.routing

import tanagerlane.model.FailureDomain
import tanagerlane.model.Payload
import tanagerlane.model.TargetName
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Picks the target of each attempt. Safe for use by several threads.
 *
 * @param random source of the two choices; used under the directory's lock
 */
public class Router(
    private val directory: SidecarDirectory,
    private val failureDomain: FailureDomain,
    private val random: Random,
    private val policy: RoutingPolicy = RoutingPolicy(),
) {
    /** Returns a target for [query], or null when none that serves it may take work. */
    public fun route(
        query: RouteQuery,
        now: Instant,
    ): Route? = directory.claim(query, now) { candidates -> choose(query, candidates) }

    /** Returns [target] for [query], or null when it may not take work. */
    public fun routeTo(
        target: TargetName,
        query: RouteQuery,
        now: Instant,
    ): Route? = directory.claim(query, now) { candidates -> candidates.find { it.declared.name == target } }

    /** Notes that an attempt on [target] is over. */
    public fun finished(target: TargetName): Unit = directory.release(target)

    private fun choose(
        query: RouteQuery,
        candidates: List<RoutedTarget>,
    ): RoutedTarget? =
        when {
            candidates.size <= 1 -> candidates.firstOrNull()
            query is RouteQuery.Chat -> withPrefix(query.prompt, candidates) ?: lessLoaded(candidates)
            else -> lessLoaded(candidates)
        }

    /** The target that the prompt's beginning leads to, unless one more request would put it over the bound. */
    private fun withPrefix(
        prompt: Payload,
        candidates: List<RoutedTarget>,
    ): RoutedTarget? {
        val prefix = prompt.toByteArray().copyOf(minOf(prompt.size, policy.prefixBytes))
        val preferred = RendezvousHash.best(StableHash.of(prefix).toString(), candidates) { it.name } ?: return null
        val inWindow = 1.0 / preferred.declared.window
        val mean = candidates.sumOf { it.load() } / candidates.size
        val bound = maxOf(policy.freeLoad, policy.loadBound * (mean + inWindow))
        return preferred.takeIf { it.load() + inWindow <= bound }
    }

    private fun lessLoaded(candidates: List<RoutedTarget>): RoutedTarget {
        val first = random.nextInt(candidates.size)
        val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
        return better(candidates[first], candidates[second])
    }

    private fun better(
        first: RoutedTarget,
        second: RoutedTarget,
    ): RoutedTarget {
        val difference = first.load() - second.load()
        return when {
            abs(difference) > policy.tieBound -> if (difference < 0) first else second
            second.isNear() && !first.isNear() -> second
            first.isNear() && !second.isNear() -> first
            else -> if (difference <= 0) first else second
        }
    }

    private fun RoutedTarget.isNear() = declared.failureDomain == failureDomain
}
