package tanagerlane.refusals

import tanagerlane.message.RefusalCopied
import tanagerlane.message.RefusalCopy
import tanagerlane.message.RefusalMinute
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.ObjectVersion

/** Copies of other hosts' refusals, written on their behalf when those hosts are lost. Thread-safe. */
public class RefusalCopies {
    private val writers = LinkedHashMap<Source, RefusalWriter>()
    private val lostSources = LinkedHashSet<Source>()
    private var flushing: Source? = null

    /** Keeps [copy] and returns the acknowledgement for its sender. */
    @Synchronized
    public fun accept(copy: RefusalCopy): RefusalCopied {
        val source = Source(copy.host, copy.incarnation)
        val writer = writers.getOrPut(source) { RefusalWriter(copy.host, copy.incarnation) }
        writer.merge(copy.tallies)
        writer.dropBefore(copy.storedBefore)
        return RefusalCopied(copy.sequence)
    }

    /** Marks [host] as lost, or as restarted under [current]; copies of its earlier incarnations are then written. */
    @Synchronized
    public fun hostLost(
        host: HostName,
        current: Incarnation? = null,
    ) {
        lostSources += writers.keys.filter { it.host == host && it.incarnation != current }
    }

    /** Returns the next write for a lost host, or null when a write is in progress or nothing is left. */
    @Synchronized
    public fun nextFlush(): RefusalFlush? {
        if (flushing != null) {
            return null
        }
        for (source in lostSources.toList()) {
            val flush = writers.getValue(source).nextWrite(before = Long.MAX_VALUE)
            if (flush != null) {
                flushing = source
                return flush
            }
            lostSources -= source
            writers -= source
        }
        return null
    }

    /** Records that the write took effect as version [at]. */
    @Synchronized
    public fun flushed(at: ObjectVersion) {
        flushing?.let { writers.getValue(it).written(at) }
        flushing = null
    }

    /** Records that the write failed; [found] and [at] are what was read at its key, or null if nothing was read. */
    @Synchronized
    public fun flushFailed(
        found: RefusalMinute? = null,
        at: ObjectVersion? = null,
    ) {
        flushing?.let { writers.getValue(it).failed(found, at) }
        flushing = null
    }

    private data class Source(
        val host: HostName,
        val incarnation: Incarnation,
    )
}
