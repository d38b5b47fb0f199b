package tanagerlane.runtime

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.delay
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows all objects below a prefix: a listing first, then watches.
 *
 * What was seen last stays in force while the object API can't be reached.
 *
 * @param wait time that one watch may wait
 * @param pause least time between two calls, which bounds the reads of a busy prefix
 */
public class PrefixWatcher(
    private val store: ObjectStore,
    private val prefix: String,
    private val wait: Duration = 30.seconds,
    private val pause: Duration = 200.milliseconds,
) {
    /** Calls [onChange] with all objects whenever one has changed; returns only by cancellation. */
    public suspend fun follow(onChange: suspend (Map<ObjectKey, StoredObject>) -> Unit) {
        while (true) {
            store.list(prefix).onOk { listing ->
                val objects = listing.objects.associateBy { it.key }
                onChange(objects)
                followChanges(objects, listing.at, onChange)
            }
            delay(pause)
        }
    }

    private suspend fun followChanges(
        listed: Map<ObjectKey, StoredObject>,
        at: ObjectVersion,
        onChange: suspend (Map<ObjectKey, StoredObject>) -> Unit,
    ) {
        var objects = listed
        var after = at
        while (true) {
            val found = store.watch(prefix, after, wait).getOrElse { return }
            after = found.at
            if (found.changes.isNotEmpty()) {
                val gone = found.changes.filter { it.current == null }.map { it.key }
                objects = objects + found.changes.mapNotNull { it.current }.associateBy { it.key } - gone.toSet()
                onChange(objects)
            }
            delay(pause)
        }
    }
}
