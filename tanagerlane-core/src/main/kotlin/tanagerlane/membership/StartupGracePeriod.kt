package tanagerlane.membership

import tanagerlane.message.HostRole
import tanagerlane.model.HostName
import kotlin.time.Duration

/**
 * Decides when a process that has just started knows which others share its work.
 *
 * A process that starts hears nobody yet. Were it to take that for the truth, all processes that start together would
 * take all the work.
 *
 * @property duration time since the start after which a process that was not heard counts as lost
 */
public data class StartupGracePeriod(
    val duration: Duration,
) {
    /**
     * Whether all [members] of [role] were heard or had the time to be.
     *
     * @param members registered processes, or null while they are not known
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
