package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName

/** Makes the stored objects of slots as this entry writes them. */
internal class EntrySlotFactory(
    private val settings: SlotSettings,
    private val failureDomain: FailureDomain,
) {
    /** A slot that this entry holds; [successors] are kept as far as they are among [peers]. */
    fun held(
        number: Int,
        successors: List<HostName>,
        peers: List<EntryPeer>,
    ): EntrySlot {
        val kept = successors.filter { host -> peers.any { it.host == host } }
        val named = (kept + candidates(number, peers)).distinct().take(SUCCESSORS)
        return slot(settings.host, named)
    }

    /** A slot that nobody holds. */
    fun free(): EntrySlot = slot(null, emptyList())

    private fun slot(
        holder: HostName?,
        successors: List<HostName>,
    ): EntrySlot =
        EntrySlot(
            slotCount = settings.slotCount,
            holder = holder,
            incarnation = settings.incarnation,
            address = settings.address,
            wirePort = settings.wirePort,
            term = settings.times.takeoverTerm,
            successors = successors,
        )

    /** Peers in the order of preference for [number], those in other failure domains first. */
    private fun candidates(
        number: Int,
        peers: List<EntryPeer>,
    ): List<HostName> {
        val (elsewhere, near) = peers.sortedBy { it.host.text }.partition { it.failureDomain != failureDomain }
        return (rotated(elsewhere, number) + near).map { it.host }
    }

    private fun rotated(
        peers: List<EntryPeer>,
        by: Int,
    ): List<EntryPeer> = peers.indices.map { peers[(it + by) % peers.size] }

    private companion object {
        const val SUCCESSORS = 2
    }
}
