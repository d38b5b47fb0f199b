package tanagerlane.admission

import tanagerlane.model.WorkspaceName

/** A caller's request, with the tallies in which it counts. */
internal class ReplayCall(
    val workspace: WorkspaceName,
    val priority: Int,
    private val tallies: List<ReplayTally>,
) {
    init {
        tallies.forEach { it.asked++ }
    }

    /** Adds [value] and what [count] counts. */
    fun add(
        value: Double,
        count: (ReplayTally) -> Unit,
    ) {
        tallies.forEach {
            it.value += value
            count(it)
        }
    }
}
