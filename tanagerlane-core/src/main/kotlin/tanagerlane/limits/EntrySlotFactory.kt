package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName

/** Creates the slot objects that this entry writes to the store. */
internal class EntrySlotFactory(
    private val settings: SlotSettings,
    private val failureDomain: FailureDomain,
) {
    /** Returns a slot held by this entry; those of [successors] that are among [peers] are retained. */
    fun heldSlot(
        number: Int,
        successors: List<HostName>,
        peers: List<EntryPeer>,
    ): EntrySlot {
        val kept = successors.filter { host -> peers.any { it.host == host } }
        val nominated = (kept + candidates(number, peers)).distinct().take(SUCCESSOR_COUNT)
        return entrySlot(settings.host, nominated)
    }

    /** Returns a slot without a holder. */
    fun freeSlot(): EntrySlot = entrySlot(null, emptyList())

    private fun entrySlot(
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

    /** Returns [peers] by preference as successors of slot [number]; those in other failure domains come first. */
    private fun candidates(
        number: Int,
        peers: List<EntryPeer>,
    ): List<HostName> {
        val (otherDomains, sameDomain) = peers.sortedBy { it.host.text }.partition { it.failureDomain != failureDomain }
        return (rotated(otherDomains, number) + sameDomain).map { it.host }
    }

    private fun rotated(
        peers: List<EntryPeer>,
        by: Int,
    ): List<EntryPeer> = peers.indices.map { peers[(it + by) % peers.size] }

    private companion object {
        const val SUCCESSOR_COUNT = 2
    }
}
