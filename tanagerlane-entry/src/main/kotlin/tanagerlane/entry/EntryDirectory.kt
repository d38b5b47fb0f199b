package tanagerlane.entry

import tanagerlane.limits.EntryPeer
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.HostName
import tanagerlane.wire.WireAddress

/** The other entries as they have registered. */
internal class EntryDirectory(
    private val own: HostName,
) {
    @Volatile
    private var entries: Map<HostName, Member> = emptyMap()

    /** Replaces what is known by [members]. */
    fun update(members: List<Member>) {
        entries = members.filter { it.role == HostRole.ENTRY && it.host != own }.associateBy { it.host }
    }

    /** Where [host] listens, or null when it isn't registered. */
    fun addressOf(host: HostName): WireAddress? = entries[host]?.let { WireAddress.parse(it.address) }

    /** All other entries. */
    fun peers(): List<EntryPeer> = entries.values.map { EntryPeer(it.host, it.failureDomain) }
}
