package tanagerlane.entry

import org.slf4j.LoggerFactory
import tanagerlane.membership.Member
import tanagerlane.message.KnownMembers
import tanagerlane.message.MembersQuery
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.runtime.MemberRegistration
import tanagerlane.runtime.PrefixWatcher
import tanagerlane.store.ObjectStore

/**
 * Follows the registered processes in the object API and, until they could be read once, in the views of other entries.
 *
 * @param connected other processes with an open connection
 * @param slotHolders entries that hold slots, as known to this entry
 * @param send passes a message to another process; it may be lost
 * @param onMembers called with all processes whenever they have changed
 * @param onSlotHolders called with the holders of slots that another entry has named
 */
internal class MemberFollower(
    private val store: ObjectStore,
    private val connected: () -> Set<HostName>,
    private val slotHolders: () -> Set<HostName>,
    private val send: (HostName, WireMessage) -> Unit,
    private val onMembers: (Collection<Member>) -> Unit,
    private val onSlotHolders: (Set<HostName>) -> Unit,
) {
    private var hasRead = false
    private var members: Map<HostName, Member> = emptyMap()

    /** Follows the registrations; returns only by cancellation. */
    suspend fun run() {
        PrefixWatcher(store, MemberRegistration.PREFIX).follow { replace(MemberRegistration.membersIn(it.values)) }
    }

    /** Asks the connected processes while the registrations could not be read. */
    @Synchronized
    fun askOthers() {
        if (!hasRead) {
            connected().forEach { send(it, MembersQuery) }
        }
    }

    /** Handles a message from [from]; those that do not concern registrations are ignored. */
    @Synchronized
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        when (message) {
            MembersQuery -> if (hasRead) send(from, KnownMembers(members.values.toList(), slotHolders().toList()))
            is KnownMembers -> if (!hasRead) merge(from, message)
            else -> Unit
        }
    }

    @Synchronized
    private fun replace(read: Collection<Member>) {
        hasRead = true
        members = read.associateBy { it.host }
        onMembers(members.values)
    }

    /** Views of several entries may differ, so the latest incarnation of each process counts. */
    private fun merge(
        from: HostName,
        known: KnownMembers,
    ) {
        onSlotHolders(known.slotHolders.toSet())
        val merged =
            (members.values + known.members)
                .sortedBy { it.incarnation.number }
                .associateBy { it.host }
        if (merged != members) {
            members = merged
            logger.info("members learned from={} members={}", from, merged.keys)
            onMembers(merged.values)
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(MemberFollower::class.java)
    }
}
