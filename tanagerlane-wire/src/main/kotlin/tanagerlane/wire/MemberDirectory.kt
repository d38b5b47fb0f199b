package tanagerlane.wire

import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.HostName

/** The processes of the system as they have registered. */
public class MemberDirectory(
    private val own: HostName,
) {
    @Volatile
    private var byHost: Map<HostName, Member> = emptyMap()

    @Volatile
    private var learned: Map<HostName, WireAddress> = emptyMap()

    /** All processes that are known, this one included. */
    public val members: Collection<Member> get() = byHost.values

    /** Entries other than this process. */
    public val otherEntries: List<Member>
        get() = byHost.values.filter { it.role == HostRole.ENTRY && it.host != own }

    /** Replaces what is known by [members]. */
    public fun update(members: Collection<Member>) {
        byHost = members.associateBy { it.host }
        learned = learned - byHost.keys
    }

    /**
     * Notes that [host] has sent something from [address], where it also listens.
     *
     * A process that starts while the object API is away finds the others by what they send; a registration goes first.
     */
    public fun learn(
        host: HostName,
        address: WireAddress,
    ) {
        if (host !in byHost && learned[host] != address) {
            learned = learned + (host to address)
        }
    }

    /** Where [host] listens, or null when it is neither registered nor heard. */
    public fun addressOf(host: HostName): WireAddress? =
        byHost[host]?.let { WireAddress.parse(it.address) } ?: learned[host]
}
