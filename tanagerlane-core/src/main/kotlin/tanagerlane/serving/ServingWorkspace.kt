package tanagerlane.serving

import tanagerlane.limits.Rate
import tanagerlane.model.RegionName
import tanagerlane.model.WorkspaceName

/**
 * The settings of a workspace that entries apply to its requests.
 *
 * @property rate limit on requests across the fleet, or null if there is none
 * @property priority priority that overrides that of the route, or null
 * @property homeRegions regions in which its requests may run; empty for all
 */
public data class ServingWorkspace(
    val name: WorkspaceName,
    val rate: Rate?,
    val priority: Int?,
    val homeRegions: Set<RegionName> = emptySet(),
)
