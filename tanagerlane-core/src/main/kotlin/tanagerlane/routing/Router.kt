package tanagerlane.routing

import tanagerlane.model.FailureDomain
import tanagerlane.model.Payload
import tanagerlane.model.TargetName
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Selects the target of each attempt, by prefix affinity and the power of two choices. Thread-safe.
 *
 * @param random source of randomness for the two choices; used only under the lock of the directory
 */
public class Router(
    private val directory: SidecarDirectory,
    private val failureDomain: FailureDomain,
    private val random: Random,
    private val policy: RoutingPolicy = RoutingPolicy(),
) {
    /** Returns a target for [query], or null if no target that serves it is available. */
    public fun route(
        query: RouteQuery,
        now: Instant,
    ): Route? = directory.claim(query, now) { candidates -> choose(query, candidates) }

    /** Returns [target] for [query], or null if it is unavailable. */
    public fun routeTo(
        target: TargetName,
        query: RouteQuery,
        now: Instant,
    ): Route? = directory.claim(query, now) { candidates -> candidates.find { it.declared.name == target } }

    /** Records that an attempt at [target] has ended. */
    public fun finished(target: TargetName): Unit = directory.release(target)

    private fun choose(
        query: RouteQuery,
        candidates: List<RoutedTarget>,
    ): RoutedTarget? =
        when {
            candidates.size <= 1 -> candidates.firstOrNull()
            query is RouteQuery.Chat -> byPrefix(query.prompt, candidates) ?: lessLoadedOfTwo(candidates)
            else -> lessLoadedOfTwo(candidates)
        }

    /** Returns the target for the prefix of [prompt], or null if one more request would exceed its load bound. */
    private fun byPrefix(
        prompt: Payload,
        candidates: List<RoutedTarget>,
    ): RoutedTarget? {
        val prefix = prompt.toByteArray().copyOf(minOf(prompt.size, policy.prefixBytes))
        val preferred = RendezvousHash.best(StableHash.of(prefix).toString(), candidates) { it.name } ?: return null
        val oneRequest = 1.0 / preferred.declared.window
        val meanLoad = candidates.sumOf { it.load() } / candidates.size
        val bound = maxOf(policy.freeLoad, policy.loadBound * (meanLoad + oneRequest))
        return preferred.takeIf { it.load() + oneRequest <= bound }
    }

    private fun lessLoadedOfTwo(candidates: List<RoutedTarget>): RoutedTarget {
        val first = random.nextInt(candidates.size)
        val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
        return lessLoaded(candidates[first], candidates[second])
    }

    private fun lessLoaded(
        first: RoutedTarget,
        second: RoutedTarget,
    ): RoutedTarget {
        val difference = first.load() - second.load()
        return when {
            abs(difference) > policy.tieBound -> if (difference < 0) first else second
            second.isInOwnDomain() && !first.isInOwnDomain() -> second
            first.isInOwnDomain() && !second.isInOwnDomain() -> first
            else -> if (difference <= 0) first else second
        }
    }

    private fun RoutedTarget.isInOwnDomain() = declared.failureDomain == failureDomain
}
