package tanagerlane.views

import tanagerlane.model.HostName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration

/**
 * Decides which processes watch a kind of objects for all others.
 *
 * A few processes watch and relay what they learn, so that calls of the object API do not grow with the fleet. A
 * process that has heard nothing for [updateTimeout] watches by itself, whatever the others do.
 *
 * @property watchers number of processes that watch each kind
 */
public data class WatcherSelection(
    val own: HostName,
    val watchers: Int,
    val updateTimeout: Duration,
) {
    /**
     * Whether this process has to watch [kind] now.
     *
     * @param peers other processes that can be reached
     * @param evidenceAge time since something of the kind was last heard, or null before the first time
     */
    public fun shouldWatch(
        kind: String,
        peers: Collection<HostName>,
        evidenceAge: Duration?,
    ): Boolean {
        if (evidenceAge == null || evidenceAge > updateTimeout) {
            return true
        }
        return own in RendezvousHash.ranked(kind, peers + own) { it.text }.take(watchers)
    }
}
