package tanagerlane.configuration

import tanagerlane.message.ConfigurationAnnounce
import tanagerlane.message.StoreFailureReport
import tanagerlane.model.FailureDomain
import tanagerlane.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * What a process knows about the latest revision of the configuration, with all times on its own clock.
 *
 * @property evidence latest time as of which no revision higher than [revision] had been accepted, or null
 * @property storeFailures latest time at which a process could not reach the store, for each failure domain
 */
internal data class FreshnessState(
    val revision: Revision = NO_REVISION,
    val evidence: Instant? = null,
    val storeFailures: Map<FailureDomain, Instant> = emptyMap(),
) {
    /** Whether this has a higher revision than [other] or times that are later by at least the thresholds. */
    fun isNewerThan(
        other: FreshnessState,
        evidenceThreshold: Duration,
        failureThreshold: Duration,
    ): Boolean =
        revision.number > other.revision.number ||
            isNewer(evidence, other.evidence, evidenceThreshold) ||
            storeFailures.any { (domain, at) -> isNewer(at, other.storeFailures[domain], failureThreshold) }

    /** Returns the times of this that are later than those of [other] by at least the thresholds. */
    fun updatesFor(
        other: FreshnessState,
        evidenceThreshold: Duration,
        failureThreshold: Duration,
    ): FreshnessState =
        copy(
            evidence = evidence.takeIf { isNewer(it, other.evidence, evidenceThreshold) },
            storeFailures =
                storeFailures.filter { (domain, at) ->
                    isNewer(at, other.storeFailures[domain], failureThreshold)
                },
        )

    /** Returns this combined with [other], whose evidence is used only if its revision is not higher than this one. */
    fun merged(other: FreshnessState): FreshnessState =
        copy(
            evidence = if (other.revision.number <= revision.number) latest(evidence, other.evidence) else evidence,
            storeFailures =
                other.storeFailures.entries.fold(storeFailures) { merged, (domain, at) ->
                    merged +
                        (domain to newest(merged[domain], at))
                },
        )

    fun toAnnouncement(
        nonce: Long,
        now: Instant,
    ): ConfigurationAnnounce =
        ConfigurationAnnounce(
            nonce = nonce,
            revision = revision,
            evidenceAge = evidence?.let { roundedUp(now - it) },
            denials = storeFailures.map { (domain, at) -> StoreFailureReport(domain, roundedUp(now - at)) },
        )

    companion object {
        val NO_REVISION: Revision = Revision(0)

        /** Converts [message], whose sender computed its ages at [at] or later. */
        fun of(
            message: ConfigurationAnnounce,
            at: Instant,
        ): FreshnessState =
            FreshnessState(
                revision = message.revision,
                evidence = message.evidenceAge?.let { at - it },
                storeFailures = message.denials.associate { it.domain to at - it.age },
            )

        private fun roundedUp(age: Duration): Duration = (age.inWholeMilliseconds + 1).milliseconds

        private fun isNewer(
            own: Instant?,
            other: Instant?,
            threshold: Duration,
        ): Boolean = own != null && (other == null || own - other >= threshold)

        private fun latest(
            first: Instant?,
            second: Instant?,
        ): Instant? = if (second == null) first else newest(first, second)

        private fun newest(
            first: Instant?,
            second: Instant,
        ): Instant = if (first == null) second else maxOf(first, second)
    }
}
