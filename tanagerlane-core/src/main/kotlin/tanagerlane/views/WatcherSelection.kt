package tanagerlane.views

import tanagerlane.model.HostName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration

/**
 * Selects the processes that watch a kind of objects in the object API on behalf of all others.
 *
 * Only a few processes watch, and they relay the updates, so that the load on the object API does not grow with the
 * fleet. A process that has received no update for longer than [updateTimeout] watches on its own, regardless of the
 * others.
 *
 * @property watchers number of processes that watch each kind
 * @property updateTimeout time without an update after which a process watches on its own
 */
public data class WatcherSelection(
    val own: HostName,
    val watchers: Int,
    val updateTimeout: Duration,
) {
    /**
     * Returns whether this process must watch [kind] now.
     *
     * @param peers other processes that are reachable
     * @param evidenceAge time since the last update or confirmation of the kind, or null before the first one
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
