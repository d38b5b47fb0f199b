package tanagerlane.limits

import tanagerlane.model.HostName

/**
 * The entries as this one sees them.
 *
 * @property hosts entries that may keep a pool, this one included unless it is stopping
 * @property holders other entries that hold slots
 */
internal data class FleetView(
    val hosts: Set<HostName>,
    val holders: Set<HostName>,
)
