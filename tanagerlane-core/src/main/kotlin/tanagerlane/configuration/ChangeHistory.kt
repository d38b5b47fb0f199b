package tanagerlane.configuration

import tanagerlane.inventory.Configuration
import tanagerlane.message.ConfigurationChange
import tanagerlane.model.Revision

/** Keeps the latest [capacity] changes, each based on the one before it. */
internal class ChangeHistory(
    private val capacity: Int,
) {
    private val changes = ArrayDeque<ConfigurationChange>()

    fun record(
        from: Configuration,
        to: Configuration,
    ) {
        val change = differenceOf(from, to)
        if (change == null) {
            changes.clear()
            return
        }
        changes.addLast(change)
        if (changes.size > capacity) {
            changes.removeFirst()
        }
    }

    /** Returns the changes from [revision] to the latest revision, or null if some of them are no longer kept. */
    fun since(revision: Revision): List<ConfigurationChange>? {
        val first = changes.indexOfFirst { it.base == revision }
        return if (first < 0) null else changes.drop(first)
    }
}
