package tanagerlane.refusals

import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion

/**
 * The refusals of one incarnation of a host on their way to the object API, one object for each minute.
 *
 * Used by the host itself and by peers that hold copies; whoever writes merges what is there, so all of them may.
 */
internal class RefusalWriter(
    private val host: HostName,
    private val incarnation: Incarnation,
) {
    private val tallies = RefusalTallies()
    private val dirty = sortedSetOf<Long>()
    private val versions = HashMap<Long, ObjectVersion>()
    private var writing: Long? = null

    /** Minutes that are not wholly in the object API, the oldest first. */
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

    /** Returns the next write, of a minute before [before], or null when one is under way or none is due. */
    fun next(before: Long): RefusalFlush? {
        val minute = dirty.firstOrNull()?.takeIf { writing == null && it < before } ?: return null
        dirty -= minute
        writing = minute
        val value = RefusalMinute(host, incarnation, minute, tallies.of(minute))
        return RefusalFlush(ObjectKey("refusals/$host-$incarnation/$minute"), value, versions[minute])
    }

    /** Takes in that the write took effect. */
    fun written(at: ObjectVersion) {
        writing?.let { versions[it] = at }
        writing = null
    }

    /** Takes in that the write failed or its answer was lost; [found] is what stands there, where that was read. */
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

    /** Forgets minutes before [minute] that are wholly in the object API. */
    fun forgetBefore(minute: Long) {
        val done = tallies.minutes.filter { it < minute && it !in pendingMinutes }
        done.forEach {
            tallies.forget(it)
            versions.remove(it)
        }
    }

    /** Forgets minutes before [minute] whether written from here or not. */
    fun dropBefore(minute: Long) {
        dirty.removeIf { it < minute }
        forgetBefore(minute)
    }
}
