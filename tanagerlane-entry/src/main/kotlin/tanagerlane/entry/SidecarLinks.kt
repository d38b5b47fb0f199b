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
 * @param picker receives changes of connections and load reports
 */
internal class SidecarLinks(
    private val endpoint: WireEndpoint,
    private val scope: CoroutineScope,
    private val active: ActiveRequests,
    private val picker: TargetPicker,
    private val now: () -> Instant,
) {
    private val links = ConcurrentHashMap<TargetName, MemberLink>()

    /** Last load report from each sidecar. */
    @Volatile
    var reports: Map<TargetName, LoadReport> = emptyMap()
        private set

    /** Link to the sidecar of [target], or null if none was ever registered. */
    fun of(target: TargetName): SidecarLink? = links[target]?.link

    /** Last nonce received from each sidecar. */
    fun nonces(): Map<TargetName, Nonce> =
        buildMap {
            reports.forEach { (target, report) -> report.admission?.let { put(target, it) } }
        }

    /** Targets whose sidecars are connected. */
    fun connected(): List<TargetName> = links.values.filter { it.link.incarnation != null }.map { it.link.target }

    /** Targets whose sidecars are connected and accept new work. */
    fun usable(): List<TargetName> = connected().filter { reports[it]?.draining == false }

    /**
     * Replaces the sidecars that this entry uses.
     *
     * The connection to a sidecar that is no longer among [members] stays open until the sidecar closes it.
     */
    fun update(members: List<Member>) {
        val byTarget = members.filter { it.target != null }.associateBy { it.target }
        links.values.filter { it.member.target !in byTarget }.forEach { it.link.retire() }
        byTarget.forEach { (target, member) -> target?.let { ensureLink(it, member) } }
    }

    private fun ensureLink(
        target: TargetName,
        member: Member,
    ) {
        val existing = links[target]
        if (existing == null || existing.link.isRetired || existing.member != member) {
            links.put(target, openLink(target, member))?.link?.stop()
        }
    }

    /** Closes all connections. */
    fun stop() {
        links.values.forEach { it.link.stop() }
    }

    private fun openLink(
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
