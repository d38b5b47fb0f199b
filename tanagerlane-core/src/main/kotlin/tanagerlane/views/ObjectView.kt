package tanagerlane.views

import tanagerlane.message.ViewObject
import tanagerlane.message.ViewUpdate
import tanagerlane.model.HostName
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration

/**
 * What is known of all objects of one kind, as of one version.
 *
 * @property at version that the view has reached; [ObjectVersion.NONE] before the first listing
 * @property objects objects by name, without those that were deleted
 */
public data class ObjectView(
    val kind: String,
    val at: ObjectVersion = ObjectVersion.NONE,
    val objects: Map<String, ViewObject> = emptyMap(),
) {
    /** Whether the objects have been listed. */
    public val isComplete: Boolean get() = at > ObjectVersion.NONE

    /** Returns this view with [update], itself where that is no news, or null where changes between them are missing. */
    public fun updated(update: ViewUpdate): ObjectView? =
        when {
            update.at <= at.number -> this
            update.after == 0L -> copy(at = ObjectVersion(update.at), objects = present(update))
            update.after <= at.number -> copy(at = ObjectVersion(update.at), objects = changed(update))
            else -> null
        }

    /** Returns the update by which [host] gives others a complete copy of this view, which it has not confirmed for [age]. */
    public fun snapshotUpdate(
        host: HostName,
        age: Duration,
    ): ViewUpdate =
        ViewUpdate(host = host, kind = kind, after = 0, at = at.number, objects = objects.values.toList(), age = age)

    private fun changed(update: ViewUpdate): Map<String, ViewObject> {
        val newer = update.objects.filter { it.version > (objects[it.name]?.version ?: 0) }
        val deleted = newer.filter { it.value == null }.map { it.name }
        return objects + newer.filter { it.value != null }.associateBy { it.name } - deleted.toSet()
    }

    private fun present(update: ViewUpdate): Map<String, ViewObject> =
        update.objects.filter { it.value != null }.associateBy { it.name }
}
