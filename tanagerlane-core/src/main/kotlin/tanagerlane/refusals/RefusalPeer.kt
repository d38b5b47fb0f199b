package tanagerlane.refusals

import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.routing.RendezvousHash

/** A host that may keep copies of another host's refusals. */
public data class RefusalPeer(
    val host: HostName,
    val failureDomain: FailureDomain,
) {
    public companion object {
        /** Returns who keeps the copies of [host]: one of [connected] in another failure domain than [own], or else any. */
        public fun pick(
            host: HostName,
            own: FailureDomain,
            connected: Collection<RefusalPeer>,
        ): RefusalPeer? {
            val others = connected.filter { it.host != host }
            val away = others.filter { it.failureDomain != own }
            return RendezvousHash.best(host.text, away.ifEmpty { others }) { it.host.text }
        }
    }
}
