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
        /**
         * Returns the peer that keeps the copies of [host]: one of [connected] outside [ownDomain] if there is one,
         * otherwise any other host, or null when there is none.
         */
        public fun pick(
            host: HostName,
            ownDomain: FailureDomain,
            connected: Collection<RefusalPeer>,
        ): RefusalPeer? {
            val others = connected.filter { it.host != host }
            val inOtherDomains = others.filter { it.failureDomain != ownDomain }
            return RendezvousHash.best(host.text, inOtherDomains.ifEmpty { others }) { it.host.text }
        }
    }
}
