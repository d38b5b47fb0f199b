package tanagerlane.resumption

import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.routing.RendezvousHash

/**
 * Selects the processes that keep where a stream began, by the id of its attempt.
 *
 * Every process selects the same ones. Runners are among them because they run on other hosts than entries, so that all
 * entries may be lost at once; each role is spread over failure domains.
 */
public object OriginKeepers {
    private const val KEEPERS_OF_EACH_ROLE = 2

    /** Processes of each role that are asked; more than are told, because registrations may have changed since. */
    private const val ASKED_OF_EACH_ROLE = 4

    /** Returns the processes other than [own] that are told where the stream of [attempt] began. */
    public fun told(
        attempt: RequestId,
        members: Collection<Member>,
        own: HostName,
    ): List<HostName> = selected(attempt.text, members, KEEPERS_OF_EACH_ROLE, own)

    /** Returns the processes other than [own] that are asked where the stream of [attempt] began. */
    public fun asked(
        attempt: RequestId?,
        members: Collection<Member>,
        own: HostName,
    ): List<HostName> = selected(attempt?.text.orEmpty(), members, ASKED_OF_EACH_ROLE, own)

    private fun selected(
        key: String,
        members: Collection<Member>,
        count: Int,
        own: HostName,
    ): List<HostName> =
        listOf(HostRole.BATCH, HostRole.ENTRY)
            .flatMap { role -> spread(key, members.filter { it.role == role && it.host != own }).take(count) }

    /** Returns [members] in their order for [key], the first one of each failure domain before all second ones. */
    private fun spread(
        key: String,
        members: List<Member>,
    ): List<HostName> =
        RendezvousHash
            .ranked(key, members) { it.host.text }
            .groupBy { it.failureDomain }
            .values
            .flatMap { ofDomain -> ofDomain.mapIndexed { place, member -> place to member.host } }
            .sortedBy { it.first }
            .map { it.second }
}
