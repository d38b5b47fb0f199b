package tanagerlane.resumption

import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/** Which software versions the targets of each service had, and until when, as this process knows. Not thread-safe. */
public class VersionHistory {
    private val lastSeen = HashMap<ServiceName, HashMap<SoftwareVersion, Instant>>()
    private var current: Map<TargetName, SoftwareVersion> = emptyMap()
    private var ofServices: Map<ServiceName, Set<SoftwareVersion>> = emptyMap()
    private var mixedServices: Set<ServiceName> = emptySet()
    private var completeSince: Instant? = null
    private var completeFrom: ObjectVersion? = null
    private var hasForgotten = false
    private val toldSince = HashMap<ServiceName, Instant>()

    /** Version of the targets up to which all changes are known, or null before the first listing. */
    public var knownTo: ObjectVersion? = null
        private set

    /**
     * Records the [targets] that are in service at [now], including those that are leaving.
     *
     * @param at version of the targets, or null if it has not changed
     */
    public fun observe(
        targets: Collection<DirectTarget>,
        now: Instant,
        at: ObjectVersion? = null,
    ) {
        knownTo = at ?: knownTo
        // Before the first listing is read no targets are known at all.
        if (targets.isNotEmpty()) {
            completeSince = completeSince ?: now
            completeFrom = completeFrom ?: knownTo
        }
        current = targets.associate { it.name to it.version }
        // Versions that are gone now may have been in service until now.
        ofServices.forEach { (service, versions) -> record(service, versions, now) }
        ofServices = targets.groupBy({ it.service }, { it.version }).mapValues { it.value.toSet() }
        mixedServices = ofServices.filterValues { it.size > 1 }.keys
        ofServices.forEach { (service, versions) -> record(service, versions, now) }
    }

    /** Records that [targets] were in service at some time up to [now], of which some have left already. */
    public fun observePassed(
        targets: Collection<DirectTarget>,
        now: Instant,
    ): Unit = targets.forEach { record(it.service, setOf(it.version), now) }

    /** Records that all changes since version [at] are known, in which only [targets] were listed. */
    public fun extend(
        targets: Collection<DirectTarget>,
        at: ObjectVersion,
        now: Instant,
    ) {
        observePassed(targets, now)
        completeFrom = completeFrom?.let { minOf(it, at) }
    }

    /** Returns whether all changes of the targets since version [at] are known. */
    public fun isKnownSince(at: ObjectVersion): Boolean = completeFrom?.let { it <= at } ?: false

    /**
     * Records that the deployment was new when this process started, so that no targets were in service before the first
     * ones observed; ignored once further versions may have been in service since.
     */
    public fun assumeNothingBefore() {
        if (!hasForgotten) {
            completeSince = Instant.DISTANT_PAST
        }
    }

    /** Records that further versions may have been in service until now. */
    public fun forgetTimeBefore() {
        hasForgotten = true
        completeSince = null
        completeFrom = null
        toldSince.clear()
    }

    /**
     * Records that another process knows of no version of [service] but [version] from [since] to [until].
     *
     * It counts only if this process has observed the targets ever after, so that nothing is unknown in between.
     *
     * @param at version of the targets up to which the other process knows, or null if it does not tell
     */
    public fun told(
        service: ServiceName,
        version: SoftwareVersion,
        since: Instant,
        until: Instant,
        at: ObjectVersion? = null,
    ) {
        val isContinued = if (at == null) completeSince?.let { it <= until } ?: false else isKnownSince(at)
        if (isContinued) {
            record(service, setOf(version), until)
            toldSince.merge(service, since, ::minOf)
        }
    }

    /** Returns services with one version in service of which it is not known whether they had another one since [time]. */
    public fun unknownSince(time: Instant): Set<ServiceName> =
        ofServices.keys.filterTo(HashSet()) { lastSeen[it]?.size == 1 && !isObserved(it, time) }

    /** Forgets versions that were not in service after [time]. */
    public fun forgetBefore(time: Instant) {
        lastSeen.values.forEach { versions -> versions.values.removeIf { it < time } }
        lastSeen.values.removeIf { it.isEmpty() }
    }

    /** Returns the versions of [service] that were seen within [period] before [now]. */
    public fun versions(
        service: ServiceName,
        period: Duration,
        now: Instant,
    ): Set<SoftwareVersion> = lastSeen[service].orEmpty().filterValues { now - it <= period }.keys

    /** Returns the only version that targets of [service] had within [period] before [now], or null if that is not known. */
    public fun soleVersion(
        service: ServiceName,
        period: Duration,
        now: Instant,
    ): SoftwareVersion? = if (isObserved(service, now - period)) versions(service, period, now).singleOrNull() else null

    /** Returns whether targets of several versions of [service] are in service now. */
    public fun hasSeveral(service: ServiceName): Boolean = service in mixedServices

    /** Returns the version of [target], or null if it is not in service. */
    public fun versionOf(target: TargetName): SoftwareVersion? = current[target]

    private fun isObserved(
        service: ServiceName,
        time: Instant,
    ): Boolean = listOfNotNull(completeSince, toldSince[service]).any { it <= time }

    private fun record(
        service: ServiceName,
        versions: Set<SoftwareVersion>,
        time: Instant,
    ) {
        val seen = lastSeen.getOrPut(service) { HashMap() }
        versions.forEach { seen.merge(it, time, ::maxOf) }
    }
}
