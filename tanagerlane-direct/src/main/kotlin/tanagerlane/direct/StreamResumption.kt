package tanagerlane.direct

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.OriginReport
import tanagerlane.message.StreamOrigin
import tanagerlane.model.HostName
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.resumption.OriginDirectory
import tanagerlane.resumption.OriginKeepers
import tanagerlane.resumption.Resumption
import tanagerlane.serving.RouteKind
import tanagerlane.serving.ServingConfiguration
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Lets streams go on only at the software version that began them; see [OriginDirectory].
 *
 * @param source decodes targets
 * @param targets returns the view of the targets
 */
internal class StreamResumption(
    private val fleet: Fleet,
    private val metrics: DirectMetrics,
    private val source: ViewSource<DirectTarget>,
    private val targets: () -> ViewSynchronizer,
    private val now: () -> Instant,
) {
    private val directory = OriginDirectory(fleet.ownHost)
    private val queries = OriginQueries(fleet)
    private val isCurrent: Boolean get() = targets().age()?.let { it <= MAXIMUM_TARGETS_AGE } ?: false

    /** Records that no process was registered when this one started, so that no stream began before. */
    fun assumeNewDeployment(): Unit = directory.versions.assumeNothingBefore()

    /** Takes the timeouts of the routes of [configuration] into account. */
    fun configure(configuration: ServingConfiguration) {
        configuration.routes
            .filter { it.kind == RouteKind.STREAM }
            .maxOfOrNull { it.timeout }
            ?.let(directory::allowTimeout)
    }

    /** Records the [targets] that are in service, at version [at] if that has changed. */
    fun observe(
        targets: Collection<DirectTarget>,
        at: ObjectVersion?,
    ): Unit = report(directory.observe(targets, now(), at))

    /** Records [targets] that were in service, and whether no other ones have been since the last observation. */
    fun observePassed(
        targets: Collection<DirectTarget>,
        areAll: Boolean,
    ) {
        if (!areAll) {
            logger.info("versions forgotten cause=targets_came_and_left_unseen")
            directory.versions.forgetTimeBefore()
        }
        directory.versions.observePassed(targets, now())
    }

    /** Records that [target] has written the first event of the answer to [request], before the event is forwarded. */
    fun began(
        request: OnlineRequest,
        target: DirectTarget,
    ) {
        if (request.origin == null) {
            val attempt = RequestId(request.id)
            request.origin = StreamOrigin(attempt, target.service, target.version, target.name)
            directory.began(attempt, target, now())?.let { report(listOf(it)) }
        }
    }

    /** Returns whether [request], of which some events were forwarded, may go on at [target]. */
    fun mayContinue(
        request: OnlineRequest,
        target: DirectTarget,
    ): Boolean {
        val origin = request.origin ?: return true
        return target.service == origin.service && target.version == origin.version && !directory.isDoubtful(origin)
    }

    /** Whether targets of several versions are in service, of which [request] must go on at one. */
    fun isBound(request: OnlineRequest): Boolean =
        request.origin != null && directory.versions.hasSeveral(request.service)

    /** Finds out at which service and version [request] goes on; returns why it must not, or null if it may. */
    suspend fun resume(request: OnlineRequest): RefusalReason? {
        val attempt = request.exchange.resumedAttempt?.let(::RequestId)
        val service = request.route.serviceFor(attempt ?: RequestId(request.id)) ?: request.service
        val known = attempt?.let { directory.find(it, now()) }
        val askedAt = now()
        val replies = if (known == null) ask(attempt, service) else null
        val isIsolated = replies?.isEmpty() ?: false
        val isConfirmed =
            !isIsolated &&
                directory.needsConfirmation(attempt, service, replies.orEmpty(), now()) &&
                confirmTargets { directory.missingSince(service, replies.orEmpty(), now()) }
        val resumption =
            directory.resolve(attempt, service, replies.orEmpty(), isConfirmed, now(), isIsolated, askedAt)
        val resumed = resumption as? Resumption.At
        val isRefusedHere = resumption == Resumption.Unconfirmed
        val outcome = resumed?.source?.name?.lowercase() ?: if (isRefusedHere) "unconfirmed" else "unknown"
        metrics.resumed(outcome).increment()
        logger.info(
            "stream resumed by caller request={} resumes={} last_event={} outcome={} version={} begun={} age={} replies={} confirmed={}",
            request.id,
            attempt,
            request.lastEvent,
            outcome,
            resumed?.origin?.version,
            resumed?.origin?.target,
            resumed?.origin?.age,
            replies?.size,
            isConfirmed,
        )
        val origin = resumed?.origin?.takeIf { known -> request.route.services.any { it.service == known.service } }
        if (origin == null) {
            return if (isRefusedHere) RefusalReason.STORE_UNAVAILABLE else RefusalReason.NOT_RESUMABLE
        }
        request.service = origin.service
        request.origin = origin
        return null
    }

    /**
     * Confirms the targets before the next attempt of [request], so that none has started again with another version
     * unnoticed.
     *
     * An answer that has begun is not given up where the object API does not reply.
     */
    suspend fun confirmBefore(request: OnlineRequest) {
        if (request.origin?.let(directory::isBoundToVersion) == true) {
            confirmTargets(CONTINUATION_TIMEOUT)
        }
    }

    /** Remembers streams that another process has forwarded. */
    fun received(report: OriginReport): Unit = directory.received(report.origins, now())

    /** Answers [query] of another process. */
    fun received(query: OriginQuery): Unit =
        fleet.send(listOf(query.host), directory.reply(query, isCurrent, now(), targets().age()))

    /** Passes [reply] to the query that it answers. */
    fun received(reply: OriginReply): Unit = queries.received(reply)

    /**
     * Asks other processes which versions were in service before this one started, until it knows or has observed the
     * targets for long enough itself.
     */
    suspend fun learnVersions() {
        var pause = MINIMUM_LEARNING_PAUSE
        while (true) {
            delay(pause)
            pause = minOf(pause * LEARNING_PAUSE_GROWTH, MAXIMUM_LEARNING_PAUSE)
            for (service in directory.unknownServices(now())) {
                val asked =
                    fleet.reachable
                        .shuffled()
                        .take(ASKED_ABOUT_VERSIONS)
                        .ifEmpty { break }
                val askedAt = now()
                directory.learn(service, queries.ask(asked, attempt = null, service), askedAt, now())
            }
        }
    }

    private fun report(origins: List<StreamOrigin>) {
        val byKeeper = HashMap<HostName, ArrayList<StreamOrigin>>()
        for (origin in origins) {
            OriginKeepers.told(origin.attempt, fleet.members, fleet.ownHost).forEach {
                byKeeper.getOrPut(it) { ArrayList() } += origin
            }
        }
        for ((keeper, kept) in byKeeper) {
            kept.chunked(ORIGINS_PER_REPORT).forEach { fleet.send(listOf(keeper), OriginReport(fleet.ownHost, it)) }
        }
    }

    /**
     * Returns whether the object API confirms the targets within [timeout].
     *
     * Reads the changes from the version that [missingSince] returns on, too, if that is not null.
     */
    private suspend fun confirmTargets(
        timeout: Duration = CONFIRMATION_TIMEOUT,
        missingSince: () -> ObjectVersion? = { null },
    ): Boolean =
        withTimeoutOrNull(timeout) {
            metrics.targetConfirmations.increment()
            val isConfirmed = targets().confirm()
            if (isConfirmed) missingSince()?.let { readSince(it) }
            isConfirmed
        } ?: false

    private suspend fun readSince(at: ObjectVersion) {
        metrics.targetConfirmations.increment()
        val change = targets().changesSince(at)
        if (change != null && change.unknownDeletions.isEmpty()) {
            directory.versions.extend(change.written.mapNotNull { source.decode(it).get() }, at, now())
        }
    }

    /** Returns what the keepers of the stream reply, or null without keepers. */
    private suspend fun ask(
        attempt: RequestId?,
        service: ServiceName,
    ): Collection<OriginReply>? =
        OriginKeepers
            .asked(attempt, fleet.members, fleet.ownHost)
            .takeIf { it.isNotEmpty() }
            ?.let { queries.ask(it, attempt, service) }

    private companion object {
        /** Age up to which the targets in service tell that there is one version only. */
        val MAXIMUM_TARGETS_AGE = 3.seconds

        /** Time for a read of the targets while a stream waits. */
        val CONFIRMATION_TIMEOUT = 300.milliseconds

        /** The same within an answer, whose caller notices each pause. */
        val CONTINUATION_TIMEOUT = 100.milliseconds

        /** Processes that are asked about each service at a time; they tell others in turn. */
        const val ASKED_ABOUT_VERSIONS = 3
        val MINIMUM_LEARNING_PAUSE = 250.milliseconds
        val MAXIMUM_LEARNING_PAUSE = 2.seconds
        const val LEARNING_PAUSE_GROWTH = 1.3

        /** Streams that fit into a datagram. */
        const val ORIGINS_PER_REPORT = 10
        val logger = LoggerFactory.getLogger(StreamResumption::class.java)
    }
}
