package tanagerlane.refusals

import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion

/**
 * Writes the refusals of one incarnation of a host to the object API, one object for each minute.
 *
 * Used by the host itself and by peers that hold copies. Every writer merges the stored counts, so several may write.
 */
internal class RefusalWriter(
    private val host: HostName,
    private val incarnation: Incarnation,
) {
    private val tallies = RefusalTallies()
    private val dirty = sortedSetOf<Long>()
    private val versions = HashMap<Long, ObjectVersion>()
    private var writing: Long? = null

    /** Minutes not fully stored in the object API: unwritten ones, the oldest first, then the one being written. */
    val pendingMinutes: Set<Long> get() = dirty + listOfNotNull(writing)

    fun add(refusal: Refusal): RefusalTally {
        dirty += refusal.minute
        return tallies.add(refusal)
    }

    fun merge(copied: List<RefusalTally>) {
        tallies.merge(copied)
        dirty += copied.map { it.minute }
    }

    fun all(): List<RefusalTally> = tallies.minutes.sorted().flatMap(tallies::of)

    /** Returns the next write, of a minute before [before], or null when a write is in progress or none is due. */
    fun nextWrite(before: Long): RefusalFlush? {
        val minute = dirty.firstOrNull()?.takeIf { writing == null && it < before } ?: return null
        dirty -= minute
        writing = minute
        val value = RefusalMinute(host, incarnation, minute, tallies.of(minute))
        return RefusalFlush(ObjectKey("refusals/$host-$incarnation/$minute"), value, versions[minute])
    }

    /** Records that the write took effect as version [at]. */
    fun written(at: ObjectVersion) {
        writing?.let { versions[it] = at }
        writing = null
    }

    /** Records that the write failed or its answer was lost; [found] is the stored value, if it was read. */
    fun failed(
        found: RefusalMinute?,
        at: ObjectVersion?,
    ) {
        val minute = writing ?: return
        writing = null
        dirty += minute
        found?.let { tallies.merge(it.tallies) }
        at?.let { versions[minute] = it }
    }

    /** Removes minutes before [minute] that are fully stored in the object API. */
    fun forgetBefore(minute: Long) {
        val done = tallies.minutes.filter { it < minute && it !in pendingMinutes }
        done.forEach {
            tallies.forget(it)
            versions.remove(it)
        }
    }

    /** Removes minutes before [minute], whether or not they were written from here. */
    fun dropBefore(minute: Long) {
        dirty.removeIf { it < minute }
        forgetBefore(minute)
    }
}
