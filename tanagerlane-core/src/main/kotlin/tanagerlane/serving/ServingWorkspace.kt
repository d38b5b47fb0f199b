package tanagerlane.serving

import tanagerlane.limits.Rate
import tanagerlane.model.WorkspaceName

/**
 * A workspace as entries need to know it.
 *
 * @property rate requests across the fleet, or null where there is no limit
 * @property priority rank that replaces the route's, or null
 */
public data class ServingWorkspace(
    val name: WorkspaceName,
    val rate: Rate?,
    val priority: Int?,
)
