package tanagerlane.refusals

import tanagerlane.message.RefusalCopied
import tanagerlane.message.RefusalCopy
import tanagerlane.message.RefusalMinute
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.ObjectVersion

/** Copies of other hosts' refusals, written under their names when those hosts are lost. Safe for several threads. */
public class RefusalCopies {
    private val held = LinkedHashMap<Source, RefusalWriter>()
    private val lost = LinkedHashSet<Source>()
    private var flushing: Source? = null

    /** Keeps [copy] and returns the answer to its sender. */
    @Synchronized
    public fun accept(copy: RefusalCopy): RefusalCopied {
        val source = Source(copy.host, copy.incarnation)
        val writer = held.getOrPut(source) { RefusalWriter(copy.host, copy.incarnation) }
        writer.merge(copy.tallies)
        writer.dropBefore(copy.storedBefore)
        return RefusalCopied(copy.sequence)
    }

    /** Notes that [host] is gone, or has come back as [current]: what its earlier incarnations left is written from here. */
    @Synchronized
    public fun hostLost(
        host: HostName,
        current: Incarnation? = null,
    ) {
        lost += held.keys.filter { it.host == host && it.incarnation != current }
    }

    /** Returns the next write for a lost host, or null when one is under way or nothing is left. */
    @Synchronized
    public fun nextFlush(): RefusalFlush? {
        if (flushing != null) {
            return null
        }
        for (source in lost.toList()) {
            val flush = held.getValue(source).next(before = Long.MAX_VALUE)
            if (flush != null) {
                flushing = source
                return flush
            }
            lost -= source
            held -= source
        }
        return null
    }

    /** Takes in that the write took effect. */
    @Synchronized
    public fun flushed(at: ObjectVersion) {
        flushing?.let { held.getValue(it).written(at) }
        flushing = null
    }

    /** Takes in that the write failed; [found] and [at] are what was read at its key, or null where nothing was. */
    @Synchronized
    public fun flushFailed(
        found: RefusalMinute? = null,
        at: ObjectVersion? = null,
    ) {
        flushing?.let { held.getValue(it).failed(found, at) }
        flushing = null
    }

    private data class Source(
        val host: HostName,
        val incarnation: Incarnation,
    )
}
