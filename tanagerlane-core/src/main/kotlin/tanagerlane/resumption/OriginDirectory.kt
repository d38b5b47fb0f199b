package tanagerlane.resumption

import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.StreamOrigin
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.places.DirectTarget
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What one process knows about the software versions that began the streams which callers may resume.
 *
 * A stream may go on only at the version that wrote its first event, as the texts of two versions do not fit together.
 * While a service may have had several versions, each stream is reported to a few other processes before its first event
 * is forwarded. What has been forgotten leads to a refusal. Not thread-safe.
 *
 * @param own host of this process
 * @param maximumStreams number of streams that are remembered
 */
public class OriginDirectory(
    private val own: HostName,
    maximumStreams: Int = MAXIMUM_STREAMS,
) {
    private val origins = StreamOrigins(maximumStreams)
    private val mixedServices = HashSet<ServiceName>()
    private var observedAt: Instant? = null

    /** Software versions that were in service. */
    public val versions: VersionHistory = VersionHistory()

    /** Longest time for which a caller may take to receive a stream, over all of its attempts. */
    public var lifetime: Duration = MINIMUM_LIFETIME
        private set

    /** Number of streams that are remembered. */
    public val size: Int get() = origins.size

    /** Takes the longest [timeout] of the routes that are in force into account, for streams that are open already too. */
    public fun allowTimeout(timeout: Duration) {
        lifetime = maxOf(lifetime, timeout * ATTEMPT_TIMES)
    }

    /**
     * Records the [targets] that are in service at [now]; has to be called at least every [MAXIMUM_PAUSE].
     *
     * @param at version of the targets, or null if it has not changed
     * @return streams of this process that have to be reported now, as their service is not known to have one version only
     */
    public fun observe(
        targets: Collection<DirectTarget>,
        now: Instant,
        at: ObjectVersion? = null,
    ): List<StreamOrigin> {
        if (observedAt?.let { now - it > MAXIMUM_PAUSE } == true) {
            versions.forgetTimeBefore()
        }
        observedAt = now
        versions.observe(targets, now, at)
        versions.forgetBefore(now - lifetime)
        origins.expire(lifetime, now)
        val mixed = targets.mapTo(HashSet()) { it.service }.filterTo(HashSet()) { isMixed(it, now) }
        val newlyMixed = mixed - mixedServices
        mixedServices.clear()
        mixedServices += mixed
        return newlyMixed.flatMap { origins.ownOf(it, now) }
    }

    /**
     * Records that [target] has written the first event of the stream of [attempt].
     *
     * @return the origin if it has to be reported to other processes before the event is forwarded, or null
     */
    public fun began(
        attempt: RequestId,
        target: DirectTarget,
        now: Instant,
    ): StreamOrigin? {
        val origin = StreamOrigin(attempt, target.service, target.version, target.name)
        origins.record(origin, now, isOwn = true)
        return origin.takeIf { isMixed(target.service, now) }
    }

    /** Remembers [reported], which another process has sent. */
    public fun received(
        reported: List<StreamOrigin>,
        now: Instant,
    ): Unit = reported.forEach { origins.record(it, now, isOwn = false) }

    /**
     * Returns what this process knows about [query].
     *
     * @param isCurrent whether the targets in service are known as of lately
     * @param age time since they were last confirmed, or null before that
     */
    public fun reply(
        query: OriginQuery,
        isCurrent: Boolean,
        now: Instant,
        age: Duration? = null,
    ): OriginReply =
        OriginReply(
            host = own,
            query = query.query,
            origin = query.attempt?.let { find(it, now) }?.takeIf(::isSeen),
            soleVersion = if (isCurrent) versions.soleVersion(query.service, lifetime, now) else null,
            versions = versions.versions(query.service, lifetime, now).take(MAXIMUM_TOLD_VERSIONS),
            period = lifetime,
            age = age,
            at = versions.knownTo?.number,
        )

    /** Returns services of which other processes may know whether they had another version than now. */
    public fun unknownServices(now: Instant): Set<ServiceName> = versions.unknownSince(now - lifetime)

    /**
     * Takes over from [replies] that [service] had one version only, so that this process tells others in turn.
     *
     * The processes that know may all be lost before a stream is resumed.
     *
     * @param askedAt time of the query
     */
    public fun learn(
        service: ServiceName,
        replies: Collection<OriginReply>,
        askedAt: Instant,
        now: Instant,
    ) {
        val version = soleVersion(service, replies, own = null, now) ?: return
        for (reply in replies) {
            val age = reply.age ?: continue
            val period = reply.period ?: continue
            if (reply.soleVersion == version) {
                versions.told(service, version, now - period, until = askedAt - age, reply.at?.let(::ObjectVersion))
            }
        }
    }

    /** Returns where the stream of [attempt] began if this process knows, or null. */
    public fun find(
        attempt: RequestId,
        now: Instant,
    ): StreamOrigin? = origins.find(attempt, now)?.takeUnless(::isDoubtful)

    /**
     * Decides whether a stream that a caller resumes may go on.
     *
     * @param attempt id of the client attempt that brought its first event, or null if the caller does not name it
     * @param service service at which it would go on
     * @param replies what other processes know
     * @param isConfirmed whether the targets were confirmed later than the caller has asked, so that all versions are
     * known that may have begun the stream, and that of each target
     * @param isIsolated whether other processes were asked and none has replied
     * @param askedAt time of the query to which the replies came
     */
    public fun resolve(
        attempt: RequestId?,
        service: ServiceName,
        replies: Collection<OriginReply>,
        isConfirmed: Boolean,
        now: Instant,
        isIsolated: Boolean = false,
        askedAt: Instant = now,
    ): Resumption {
        attempt?.let { find(it, now) }?.let { return confirmed(isConfirmed, it, OriginSource.OWN) }
        told(replies).firstOrNull { !isDoubtful(it) }?.let { origin ->
            origins.record(origin, now, isOwn = false)
            return confirmed(isConfirmed, origin, OriginSource.PEER)
        }
        if (told(replies).isNotEmpty() || !isConfirmed || isIsolated) {
            return Resumption.Unknown
        }
        val observed = versions.soleVersion(service, lifetime, now)
        learn(service, replies, askedAt, now)
        val known = versions.soleVersion(service, lifetime, now)
        val version = known?.let { soleVersion(service, replies, it, now) } ?: return Resumption.Unknown
        val origin = StreamOrigin(attempt ?: UNNAMED, service, version)
        attempt?.let { origins.record(origin, now, isOwn = false) }
        val source = if (observed != null) OriginSource.SOLE_VERSION else OriginSource.PEER_SOLE_VERSION
        return Resumption.At(origin, source)
    }

    /** Whether a confirmation of the targets may show that the stream of [attempt] may go on, of which [replies] tell. */
    public fun needsConfirmation(
        attempt: RequestId?,
        service: ServiceName,
        replies: Collection<OriginReply>,
        now: Instant,
    ): Boolean =
        attempt?.let { find(it, now) } != null ||
            told(replies).isNotEmpty() ||
            versions.versions(service, lifetime, now).size <= 1

    /**
     * Returns the version of the targets from which on changes are missing that lie between what [replies] tell of
     * [service] and the first listing of this process, or null if none are missing or nothing is told.
     */
    public fun missingSince(
        service: ServiceName,
        replies: Collection<OriginReply>,
        now: Instant,
    ): ObjectVersion? =
        replies
            .filter { it.soleVersion != null }
            .mapNotNull { it.at }
            .maxOrNull()
            ?.let(::ObjectVersion)
            ?.takeUnless { versions.isKnownSince(it) || versions.soleVersion(service, lifetime, now) != null }

    /** Targets of [origin] can be told from their next incarnations only once their list is confirmed. */
    private fun confirmed(
        isConfirmed: Boolean,
        origin: StreamOrigin,
        source: OriginSource,
    ): Resumption =
        if (isConfirmed || !isBoundToVersion(origin)) Resumption.At(origin, source) else Resumption.Unconfirmed

    /** Returns the origins that [replies] tell, without those that their sender has inferred. */
    private fun told(replies: Collection<OriginReply>): List<StreamOrigin> =
        replies.mapNotNull { it.origin }.filter(::isSeen)

    /** Whether [origin] was seen at a target; otherwise it was inferred from the versions in service. */
    private fun isSeen(origin: StreamOrigin): Boolean = origin.target != null

    /** Whether the platform tells versions apart, so that a stream of [origin] may go on at one of them only. */
    public fun isBoundToVersion(origin: StreamOrigin): Boolean = origin.version.text.isNotEmpty()

    /** Whether the target of [origin] has started again with another version, so that either may have begun the stream. */
    public fun isDoubtful(origin: StreamOrigin): Boolean =
        origin.target?.let(versions::versionOf)?.let { it != origin.version } ?: false

    /** Returns the version that [own] and [replies] name if it is only one, and nobody has seen another one. */
    private fun soleVersion(
        service: ServiceName,
        replies: Collection<OriginReply>,
        own: SoftwareVersion?,
        now: Instant,
    ): SoftwareVersion? {
        val told = replies.filter { (it.period ?: lifetime) >= lifetime }.mapNotNullTo(HashSet()) { it.soleVersion }
        val seen = versions.versions(service, lifetime, now) + replies.flatMap { it.versions }
        return (told + listOfNotNull(own)).singleOrNull()?.takeIf { (seen - it).isEmpty() }
    }

    private fun isMixed(
        service: ServiceName,
        now: Instant,
    ): Boolean = versions.soleVersion(service, lifetime, now) == null

    private companion object {
        /** A caller may use up the timeout of its route in each of its attempts, of which the first brought no event. */
        const val ATTEMPT_TIMES = 2

        /** Versions that fit into a reply; with any two of them a stream of unknown origin is refused. */
        const val MAXIMUM_TOLD_VERSIONS = 4
        val UNNAMED = RequestId("")
        val MINIMUM_LIFETIME = 10.seconds

        /** Pause in which a version may have come and left unseen, as a process was frozen. */
        val MAXIMUM_PAUSE = 3.seconds

        /** Streams that are remembered. */
        const val MAXIMUM_STREAMS = 20_000
    }
}
