package tanagerlane.entry

import kotlinx.coroutines.CoroutineScope
import tanagerlane.attempts.AttemptEvent
import tanagerlane.membership.Member
import tanagerlane.message.LoadReport
import tanagerlane.message.Nonce
import tanagerlane.message.WireMessage
import tanagerlane.model.TargetName
import tanagerlane.wire.WireEndpoint
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/**
 * Connections to the sidecars that this entry uses.
 *
 * @param picker hears of connections and loads
 */
internal class SidecarLinks(
    private val endpoint: WireEndpoint,
    private val scope: CoroutineScope,
    private val active: ActiveRequests,
    private val picker: TargetPicker,
    private val now: () -> Instant,
) {
    private val links = ConcurrentHashMap<TargetName, MemberLink>()

    /** The last report of load from each sidecar. */
    @Volatile
    var reports: Map<TargetName, LoadReport> = emptyMap()
        private set

    /** The link to [target], or null when its sidecar isn't registered. */
    fun of(target: TargetName): SidecarLink? = links[target]?.link

    /** Last nonce that each sidecar has sent. */
    fun nonces(): Map<TargetName, Nonce> =
        buildMap {
            reports.forEach { (target, report) -> report.admission?.let { put(target, it) } }
        }

    /** Targets whose sidecars are connected. */
    fun connected(): List<TargetName> = links.values.filter { it.link.incarnation != null }.map { it.link.target }

    /** Targets whose sidecars are connected and take new work. */
    fun usable(): List<TargetName> = connected().filter { reports[it]?.draining == false }

    /**
     * Follows the registrations of the sidecars that this entry uses.
     *
     * A link to one that is not among [members] any more is kept until the sidecar ends it.
     */
    fun update(members: List<Member>) {
        val byTarget = members.filter { it.target != null }.associateBy { it.target }
        links.values.filter { it.member.target !in byTarget }.forEach { it.link.retire() }
        byTarget.forEach { (target, member) -> target?.let { follow(it, member) } }
    }

    private fun follow(
        target: TargetName,
        member: Member,
    ) {
        val present = links[target]
        if (present == null || present.link.isRetired || present.member != member) {
            links.put(target, link(target, member))?.link?.stop()
        }
    }

    /** Ends all connections. */
    fun stop() {
        links.values.forEach { it.link.stop() }
    }

    private fun link(
        target: TargetName,
        member: Member,
    ): MemberLink {
        val link = SidecarLink(target, member, endpoint, now) { _, event -> receive(event) }
        link.start(scope)
        return MemberLink(member, link)
    }

    private fun receive(event: AttemptEvent) {
        val message: WireMessage? = (event as? AttemptEvent.Received)?.message
        if (message is LoadReport) {
            synchronized(this) { reports = reports + (message.target to message) }
            picker.reported(message)
        } else {
            picker.connectionChanged(event)
            active.deliver(event)
        }
    }

    private data class MemberLink(
        val member: Member,
        val link: SidecarLink,
    )
}
