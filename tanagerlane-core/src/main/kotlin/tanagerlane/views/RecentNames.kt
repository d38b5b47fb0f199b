package tanagerlane.views

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Names of objects that a view has held lately. Not thread-safe.
 *
 * @param lifetime time for which a name is kept after the view has held it
 */
public class RecentNames(
    private val lifetime: Duration,
) {
    private val heldAt = HashMap<String, Instant>()

    /** Records that the view holds objects of [names] at [now]. */
    public fun add(
        names: Set<String>,
        now: Instant,
    ) {
        heldAt.values.removeIf { now - it > lifetime }
        names.forEach { heldAt[it] = now }
    }

    /** Returns whether the view has held objects of all of [names] within the lifetime before [now]. */
    public fun containsAll(
        names: Set<String>,
        now: Instant,
    ): Boolean = names.all { name -> heldAt[name]?.let { now - it <= lifetime } ?: false }
}
