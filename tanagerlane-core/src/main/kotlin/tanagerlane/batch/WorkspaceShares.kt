package tanagerlane.batch

import tanagerlane.model.WorkspaceName

/** Number of items that this process has claimed for each workspace with open jobs, divided by its weight. */
public data class WorkspaceShares(
    private val served: Map<WorkspaceName, Double> = emptyMap(),
) {
    /** Returns the weighted number of items claimed for [workspace]. */
    public fun servedOf(workspace: WorkspaceName): Double = served[workspace] ?: 0.0

    /** Keeps only [workspaces]; one that is new starts at the lowest share of those that were there before. */
    public fun restrictedTo(workspaces: Set<WorkspaceName>): WorkspaceShares {
        val kept = served.filterKeys { it in workspaces }
        val least = kept.values.minOrNull() ?: 0.0
        return WorkspaceShares(workspaces.associateWith { kept[it] ?: least })
    }

    /** Charges [items] items to [workspace], which has [weight]. */
    public fun charged(
        workspace: WorkspaceName,
        items: Int,
        weight: Int,
    ): WorkspaceShares {
        require(weight > 0) { "weight must be positive: $weight" }
        val total = servedOf(workspace) + items.toDouble() / weight
        return WorkspaceShares(served + (workspace to total))
    }
}
