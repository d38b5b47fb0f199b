package tanagerlane.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for the selection of targets by a [Router].
 *
 * @property reportLifetime age beyond which a load report is ignored and its target counts as unavailable
 * @property loadBound load, as a multiple of the mean, up to which the target for the prefix of a prompt is preferred
 * @property freeLoad load, relative to the window, up to which that target is preferred whatever the mean is
 * @property prefixBytes number of bytes at the start of a prompt that form its prefix
 * @property tieBound difference of two loads, relative to the window, up to which the failure domain decides
 */
public data class RoutingPolicy(
    val reportLifetime: Duration = 2.seconds,
    val loadBound: Double = 1.25,
    val freeLoad: Double = 0.5,
    val prefixBytes: Int = 256,
    val tieBound: Double = 0.05,
) {
    init {
        require(loadBound >= 1.0) { "load bound below 1.0 may exclude every target: $loadBound" }
    }
}
