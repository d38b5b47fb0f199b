package tanagerlane.limits

import tanagerlane.model.HostName

/**
 * Entries of the fleet as known to this entry.
 *
 * @property hosts entries that may host a pool; includes this entry unless it is stopping
 * @property holders other entries that hold slots
 */
internal data class FleetView(
    val hosts: Set<HostName>,
    val holders: Set<HostName>,
)
