package tanagerlane.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How a [Router] picks targets.
 *
 * @property reportLifetime age at which a load report no longer counts and the target is taken as silent
 * @property loadBound load relative to the mean up to which a target with the prompt's prefix is preferred
 * @property freeLoad load relative to the window up to which such a target is preferred whatever the mean
 * @property prefixBytes bytes of a prompt that tell prefixes apart
 * @property tieBound difference of two loads, relative to the window, within which the failure domain decides
 */
public data class RoutingPolicy(
    val reportLifetime: Duration = 2.seconds,
    val loadBound: Double = 1.25,
    val freeLoad: Double = 0.5,
    val prefixBytes: Int = 256,
    val tieBound: Double = 0.05,
) {
    init {
        require(loadBound >= 1.0) { "no target is always within the bound: $loadBound" }
    }
}
