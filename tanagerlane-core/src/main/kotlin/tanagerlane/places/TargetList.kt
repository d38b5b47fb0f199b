package tanagerlane.places

import tanagerlane.model.TargetName
import kotlin.time.Instant

/**
 * Targets as the object API lists them, and those that lapsed from it without having left.
 *
 * Registrations lapse while the object API is away, and come back soon after it; a target that is missing then is
 * kept until it had time to register again.
 *
 * @property listed targets in the newest listing
 * @property missing targets that lapsed, with the time until which they are kept
 * @property heardAt when the newest listing was received, or null before the first
 * @property returnedAt when listings last came again after a gap, or null
 */
public data class TargetList(
    val listed: Map<TargetName, DirectTarget> = emptyMap(),
    val missing: Map<TargetName, MissingTarget> = emptyMap(),
    val heardAt: Instant? = null,
    val returnedAt: Instant? = null,
) {
    /** Returns the targets that may be used at [now]. */
    public fun usable(now: Instant): List<DirectTarget> =
        listed.values + missing.values.filter { it.keptUntil > now }.map { it.target }

    /** Takes in a listing of [targets] that was received at [now]. */
    public fun updated(
        targets: Collection<DirectTarget>,
        now: Instant,
        bounds: RegistrationGrace = RegistrationGrace(),
    ): TargetList {
        val isReturn = heardAt != null && now - heardAt > bounds.gap
        val returned = if (isReturn) now else returnedAt
        val keptUntil = returned?.let { it + bounds.registration }
        val present = targets.associateBy { it.name }
        val lost = listed.values.filter { it.name !in present && !it.leaving }
        val lapsed =
            if (keptUntil != null && keptUntil > now) {
                lost.associate { it.name to MissingTarget(it, keptUntil) }
            } else {
                emptyMap()
            }
        val stillMissing = (missing + lapsed).filter { (name, target) -> name !in present && target.keptUntil > now }
        return TargetList(listed = present, missing = stillMissing, heardAt = now, returnedAt = returned)
    }

    /** Notes that the object API has answered at [now] without a change. */
    public fun confirmed(
        now: Instant,
        bounds: RegistrationGrace = RegistrationGrace(),
    ): TargetList = updated(listed.values, now, bounds)
}
