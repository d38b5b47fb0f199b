package tanagerlane.views

import tanagerlane.message.ViewObject
import tanagerlane.message.ViewUpdate
import tanagerlane.store.ObjectVersion

/**
 * What an update of a view tells of the time since the view before it.
 *
 * @property written objects that were written, in the order of their changes; the view may hold them no longer
 * @property unknownDeletions names of objects that were deleted, which neither the view before nor [written] holds
 * @property isContinuous whether no change since the view before is missing
 */
public data class ViewChange(
    val written: List<ViewObject>,
    val unknownDeletions: Set<String>,
    val isContinuous: Boolean,
) {
    public companion object {
        /** Nothing has changed. */
        public val NONE: ViewChange = ViewChange(emptyList(), emptySet(), isContinuous = true)

        /** Objects may have come and left unseen, as the view was replaced by a later listing. */
        public val UNKNOWN: ViewChange = NONE.copy(isContinuous = false)

        /** Returns what [update] tells of the time after version [since] of a view with objects of [names]. */
        public fun of(
            update: ViewUpdate,
            names: Set<String>,
            since: ObjectVersion,
        ): ViewChange {
            val (deleted, written) = update.objects.partition { it.value == null }
            val known = names + written.map { it.name }
            return ViewChange(
                written = written.filter { it.version > since.number },
                unknownDeletions = deleted.mapTo(HashSet()) { it.name } - known,
                isContinuous = true,
            )
        }
    }
}
