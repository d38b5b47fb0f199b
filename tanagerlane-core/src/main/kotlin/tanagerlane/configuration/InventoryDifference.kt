package tanagerlane.configuration

import tanagerlane.inventory.Inventory

/**
 * One entry that differs between two inventories.
 *
 * @property part type of the entry, such as `target`
 */
public data class InventoryDifference(
    val kind: DifferenceKind,
    val part: String,
    val name: String,
) {
    public companion object {
        /** Returns the differences from [from] to [to], grouped by type of entry. */
        public fun between(
            from: Inventory,
            to: Inventory,
        ): List<InventoryDifference> =
            listOf(
                compare("site", from.sites, to.sites) { it.name },
                compare("model", from.models, to.models) { it.name.text },
                compare("service", from.services, to.services) { it.name.text },
                compare("target", from.targets, to.targets) { it.name.text },
                compare("workspace", from.workspaces, to.workspaces) { it.name.text },
                compare("rules", listOf(from.rules), listOf(to.rules)) { "" },
                compare("deployment", listOf(from.deployment), listOf(to.deployment)) { "" },
            ).flatten()

        private fun <T> compare(
            part: String,
            from: List<T>,
            to: List<T>,
            name: (T) -> String,
        ): List<InventoryDifference> {
            val old = from.associateBy(name)
            val new = to.associateBy(name)
            val removed = (old.keys - new.keys).map { InventoryDifference(DifferenceKind.REMOVED, part, it) }
            val added = (new.keys - old.keys).map { InventoryDifference(DifferenceKind.ADDED, part, it) }
            val changed =
                new.keys
                    .filter {
                        it in old && old[it] != new[it]
                    }.map { InventoryDifference(DifferenceKind.CHANGED, part, it) }
            return removed + added + changed
        }
    }
}
