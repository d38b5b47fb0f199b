package tanagerlane.places

import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName

/**
 * A request for which a target is selected.
 *
 * @property tried targets at which the request was attempted; others are preferred
 * @property mayUse whether the request may be sent to a target at all
 * @property avoidsHeld whether targets that are held back after failures are not selected, even if there is no other
 */
public data class PlacementRequest(
    val service: ServiceName,
    val tried: Set<TargetName> = emptySet(),
    val mayUse: (DirectTarget) -> Boolean = ANY_TARGET,
    val avoidsHeld: Boolean = false,
) {
    public companion object {
        /** Permits all targets. */
        public val ANY_TARGET: (DirectTarget) -> Boolean = { true }
    }
}
