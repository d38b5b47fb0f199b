package tanagerlane.places

import tanagerlane.model.TargetName
import kotlin.time.Instant

/**
 * Targets that the object API lists, and targets whose registration lapsed although they did not announce a shutdown.
 *
 * Registrations lapse during an outage of the object API and are renewed soon after it. A target that is missing from
 * the listing after an outage is kept in use until it has had time to register again.
 *
 * @property listed targets in the latest listing
 * @property missing targets whose registration lapsed, with the time until which they are kept
 * @property receivedAt time at which the latest listing was received or confirmed, or null before the first one
 * @property recoveredAt time of the first listing after the latest outage, or null if there was no outage
 */
public data class TargetList(
    val listed: Map<TargetName, DirectTarget> = emptyMap(),
    val missing: Map<TargetName, MissingTarget> = emptyMap(),
    val receivedAt: Instant? = null,
    val recoveredAt: Instant? = null,
) {
    /** Returns the targets that may be called at [now]. */
    public fun usable(now: Instant): List<DirectTarget> =
        listed.values + missing.values.filter { it.keptUntil > now }.map { it.target }

    /** Returns this list updated with a listing of [targets] that was received at [now]. */
    public fun updated(
        targets: Collection<DirectTarget>,
        now: Instant,
        grace: RegistrationGrace = RegistrationGrace(),
    ): TargetList {
        val isRecovery = receivedAt != null && now - receivedAt > grace.outageThreshold
        val recovered = if (isRecovery) now else recoveredAt
        val keptUntil = recovered?.let { it + grace.gracePeriod }
        val present = targets.associateBy { it.name }
        val unlisted = listed.values.filter { it.name !in present && !it.leaving }
        val lapsed =
            if (keptUntil != null && keptUntil > now) {
                unlisted.associate { it.name to MissingTarget(it, keptUntil) }
            } else {
                emptyMap()
            }
        val stillMissing = (missing + lapsed).filter { (name, target) -> name !in present && target.keptUntil > now }
        return TargetList(listed = present, missing = stillMissing, receivedAt = now, recoveredAt = recovered)
    }

    /** Returns this list after the object API has answered at [now] that nothing changed. */
    public fun confirmed(
        now: Instant,
        grace: RegistrationGrace = RegistrationGrace(),
    ): TargetList = updated(listed.values, now, grace)
}
