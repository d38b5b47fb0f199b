package tanagerlane.membership

import tanagerlane.message.HostRole
import tanagerlane.model.HostName
import kotlin.time.Duration

/**
 * Decides when a process that has just started knows which other processes share its work.
 *
 * At its start, a process has received nothing from any other. If it treated all others as lost, each of several
 * processes that start together would take all the work.
 *
 * @property duration time since the start after which a process from which nothing was received counts as lost
 */
public data class StartupGracePeriod(
    val duration: Duration,
) {
    /**
     * Whether all [members] of [role] were heard from or the grace period has passed.
     *
     * @param members registered processes, or null while they are not known
     * @param silent processes from which nothing was received
     */
    public fun isOver(
        members: Collection<Member>?,
        role: HostRole,
        silent: Collection<HostName>,
        sinceStart: Duration,
    ): Boolean {
        val known = members ?: return false
        return sinceStart > duration || known.none { it.role == role && it.host in silent }
    }
}
