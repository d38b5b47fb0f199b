package tanagerlane.batch

import tanagerlane.model.WorkspaceName

/** Items that this process has claimed for each workspace that has open jobs, divided by the workspace's weight. */
public data class WorkspaceShares(
    private val served: Map<WorkspaceName, Double> = emptyMap(),
) {
    /** Returns the weighted items of [workspace]. */
    public fun servedOf(workspace: WorkspaceName): Double = served[workspace] ?: 0.0

    /** Keeps the workspaces in [waiting]; one that was not waiting before begins at the least share of the others. */
    public fun restrictedTo(waiting: Set<WorkspaceName>): WorkspaceShares {
        val kept = served.filterKeys { it in waiting }
        val least = kept.values.minOrNull() ?: 0.0
        return WorkspaceShares(waiting.associateWith { kept[it] ?: least })
    }

    /** Charges [items] to [workspace]. */
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
