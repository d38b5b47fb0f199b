package tanagerlane.views

import tanagerlane.message.ViewObject
import tanagerlane.message.ViewUpdate
import tanagerlane.model.HostName
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration

/**
 * A replica of all objects of one kind, at one version.
 *
 * @property at version of the view; [ObjectVersion.NONE] before the first listing
 * @property objects objects by name, without deleted ones
 */
public data class ObjectView(
    val kind: String,
    val at: ObjectVersion = ObjectVersion.NONE,
    val objects: Map<String, ViewObject> = emptyMap(),
) {
    /** What the latest update told of the time since the view before it; not part of the state. */
    public var change: ViewChange = ViewChange.NONE
        private set

    /** Whether the view contains a complete listing. */
    public val isComplete: Boolean get() = at > ObjectVersion.NONE

    /** Applies [update]; returns this view if it is not newer, and null if changes between the two are missing. */
    public fun updated(update: ViewUpdate): ObjectView? =
        when {
            update.at <= at.number -> copy()
            update.after == 0L -> replaced(update)
            update.after <= at.number -> changed(update)
            else -> null
        }

    /** Returns an update with a complete copy of this view, which [host] last confirmed [age] ago. */
    public fun snapshotUpdate(
        host: HostName,
        age: Duration,
    ): ViewUpdate =
        ViewUpdate(host = host, kind = kind, after = 0, at = at.number, objects = objects.values.toList(), age = age)

    private fun replaced(update: ViewUpdate): ObjectView {
        val replaced = copy(at = ObjectVersion(update.at), objects = withoutDeleted(update))
        replaced.change = if (isComplete) ViewChange.UNKNOWN else ViewChange.NONE
        return replaced
    }

    private fun changed(update: ViewUpdate): ObjectView {
        val changed = copy(at = ObjectVersion(update.at), objects = withChanges(update))
        changed.change = ViewChange.of(update, objects.keys, since = at)
        return changed
    }

    /** Applies the changes in their order, as one update may delete an object and create it again. */
    private fun withChanges(update: ViewUpdate): Map<String, ViewObject> {
        val changed = objects.toMutableMap()
        for (change in update.objects) {
            when {
                change.version <= (changed[change.name]?.version ?: 0) -> Unit
                change.value == null -> changed.remove(change.name)
                else -> changed[change.name] = change
            }
        }
        return changed
    }

    private fun withoutDeleted(update: ViewUpdate): Map<String, ViewObject> =
        update.objects.filter { it.value != null }.associateBy { it.name }
}
