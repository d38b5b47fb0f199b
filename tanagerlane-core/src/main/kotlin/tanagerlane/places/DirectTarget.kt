package tanagerlane.places

import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName

/**
 * One incarnation of a target that processes call directly.
 *
 * @property address IP number and port
 * @property places requests that it runs at once
 * @property leaving whether it takes no new work
 */
public data class DirectTarget(
    val name: TargetName,
    val service: ServiceName,
    val address: String,
    val failureDomain: FailureDomain,
    val places: Int,
    val leaving: Boolean = false,
)
