package tanagerlane.quarantine

import tanagerlane.message.AnsweredPart
import tanagerlane.message.CompletedRequest
import tanagerlane.message.CrashEvidence
import tanagerlane.message.CrashReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Finds requests, and parts of prompts, that crash targets, from what all processes observe, and keeps them from targets.
 *
 * Evidence for a part are crashes in which a request with it was lost before its first event; evidence against it is any
 * answer that was written with it since. Evidence for a request are crashes that followed one another, each after it had
 * been sent again; evidence against it is a whole answer, as a target may also crash in the middle of one. Either is
 * quarantined for a term that grows with each further crash; after it, requests are sent again, so that a wrong verdict
 * corrects itself. Thread-safe.
 */
public class PromptQuarantine(
    private val own: HostName,
    private val incarnation: Incarnation,
    private val settings: QuarantineSettings = QuarantineSettings(),
) {
    private val lock = Any()
    private val answers = LatestAnswers<PromptPart>(settings.maximumAnswers)
    private val completions = LatestAnswers<RequestDigest>(settings.maximumAnswers)
    private val evidence = CrashEvidenceStore(settings) { it in answers }
    private var evidenceCount = 0L

    /** Whether there is nothing to be reported. */
    public val isEmpty: Boolean
        get() = synchronized(lock) { evidence.isEmpty && answers.hasNoReports && completions.hasNoReports }

    /** Whether there is evidence about any request, so that requests have to be identified before they are sent. */
    public val hasRequestEvidence: Boolean get() = synchronized(lock) { evidence.requests.isNotEmpty() }

    /** Parts for which the evidence suffices, including those whose term is over. */
    public val parts: Collection<QuarantinedPart> get() = synchronized(lock) { evidence.parts.values }

    /** Requests for which the evidence suffices, including those whose term is over. */
    public val requests: Collection<QuarantinedRequest>
        get() = synchronized(lock) { evidence.requests.values.mapNotNull { it.verdict } }

    /**
     * Records that a [request] of this process was lost at [now], as its target crashed.
     *
     * @param sentAt time at which the request was sent to the target
     */
    public fun lost(
        target: TargetName,
        request: RequestTraits,
        stage: LossStage,
        sentAt: Instant,
        now: Instant,
    ) {
        if (request.parts.isEmpty() && request.request == null) {
            return
        }
        synchronized(lock) {
            val id = EvidenceId(own, incarnation, ++evidenceCount)
            val parts = request.parts.take(LostRequest.MAXIMUM_PARTS)
            add(LostRequest(id, target, now, sentAt, stage, parts, request.request), nextReportAt = now)
            evidence.forget(now)
            evidence.update()
        }
    }

    /** Records that a target has written an event of an answer to a request with the shared [parts]. */
    public fun answered(
        parts: List<PromptPart>,
        now: Instant,
    ) {
        synchronized(lock) {
            parts.take(LostRequest.MAXIMUM_PARTS).forEach { answers.record(it, now) }
            val cleared = parts.filter { clear(it, now) }
            if (cleared.isNotEmpty()) {
                cleared.forEach { answers.report(it, now) }
                evidence.update()
            }
        }
    }

    /** Records that the answer to [request] was received whole. */
    public fun completed(
        request: RequestDigest,
        now: Instant,
    ) {
        synchronized(lock) {
            completions.record(request, now)
            if (clear(request, now)) {
                completions.report(request, now)
                evidence.update()
            }
        }
    }

    /** Returns the part because of which a request with the shared [parts] must not reach a target, or null. */
    public fun findQuarantined(
        parts: List<PromptPart>,
        now: Instant,
    ): QuarantinedPart? =
        synchronized(lock) {
            val quarantined = evidence.parts
            if (quarantined.isEmpty()) {
                null
            } else {
                parts.firstNotNullOfOrNull { part -> quarantined[part]?.takeIf { it.until > now } }
            }
        }

    /** Returns the verdict by which [request] must not reach a target, or null. */
    public fun findQuarantined(
        request: RequestDigest,
        now: Instant,
    ): QuarantinedRequest? = synchronized(lock) { evidence.requests[request]?.verdict?.takeIf { it.until > now } }

    /** Whether one further crash, or none, is missing to the verdict on [request]. */
    public fun isSuspected(request: RequestDigest): Boolean =
        synchronized(lock) { (evidence.requests[request]?.chainedCrashes ?: 0) >= settings.crashesOfRequest - 1 }

    /** Merges a [report] of another process. */
    public fun received(
        report: CrashReport,
        now: Instant,
    ) {
        synchronized(lock) {
            report.evidence.forEach { merge(it, now) }
            report.answered.forEach { clear(it.part, now - it.age) }
            report.completed.forEach { clear(it.request, now - it.age) }
            evidence.update()
        }
    }

    /**
     * Returns the reports to be sent to all other processes at [now].
     *
     * Evidence is reported by its observer at first, then by a few processes, so that one that starts later learns of it
     * even if the observer is gone.
     *
     * @param reachable other processes from which messages are received
     */
    public fun reports(
        reachable: Set<HostName>,
        now: Instant,
    ): List<CrashReport> =
        synchronized(lock) {
            evidence.forget(now)
            evidence.update()
            val due = evidence.all.filter { it.nextReportAt <= now }
            due.forEach { it.nextReportAt = now + reportPause(it.request, now) }
            val reported = due.map { it.request }.filter { isReported(it, reachable, now) }
            val evidenceChunks = reported.map { it.toMessage(now) }.chunked(EVIDENCE_PER_REPORT)
            val answerChunks =
                answers.reports(now).map { (part, age) -> AnsweredPart(part, age) }.chunked(ANSWERS_PER_REPORT)
            val completionChunks =
                completions
                    .reports(now)
                    .map { (request, age) -> CompletedRequest(request, age) }
                    .chunked(COMPLETIONS_PER_REPORT)
            List(maxOf(evidenceChunks.size, answerChunks.size, completionChunks.size)) { index ->
                CrashReport(
                    host = own,
                    evidence = evidenceChunks.getOrElse(index) { emptyList() },
                    answered = answerChunks.getOrElse(index) { emptyList() },
                    completed = completionChunks.getOrElse(index) { emptyList() },
                )
            }
        }

    /**
     * Returns the reports to be sent to [newcomer], from which no messages were received for a while.
     *
     * A few processes send it what they know, so that one that has just started need not wait until it is repeated.
     *
     * @param reachable other processes from which messages are received
     */
    public fun reportsFor(
        newcomer: HostName,
        reachable: Set<HostName>,
        now: Instant,
    ): List<CrashReport> =
        synchronized(lock) {
            if (!isRepeater(newcomer.text, reachable - newcomer)) return emptyList()
            val known = evidence.all.map { it.request }.filter { isWorthRepeating(it, now) }
            known.map { it.toMessage(now) }.chunked(EVIDENCE_PER_REPORT).map { CrashReport(own, it, emptyList()) }
        }

    private fun isReported(
        request: LostRequest,
        reachable: Set<HostName>,
        now: Instant,
    ): Boolean =
        (request.isFreshOwn(now) && !request.isSpent) ||
            (isWorthRepeating(request, now) && isRepeater(request.target.text, reachable))

    /** A request that was lost in one crash only proves nothing; evidence is repeated once there is a second one. */
    private fun isWorthRepeating(
        request: LostRequest,
        now: Instant,
    ): Boolean {
        val crashes = evidence.requests[request.request]?.crashes ?: 0
        return (request.parts.isNotEmpty() || crashes > 1) && evidence.counts(request, now)
    }

    private fun LostRequest.isFreshOwn(now: Instant): Boolean = id.observer == own && now - at <= OWN_REPORT_TIME

    private fun isRepeater(
        key: String,
        reachable: Set<HostName>,
    ): Boolean = own in RendezvousHash.ranked(key, reachable + own) { it.text }.take(REPEATERS)

    private fun reportPause(
        request: LostRequest,
        now: Instant,
    ): Duration = if (request.isFreshOwn(now)) OWN_REPORT_PAUSE else REPEAT_PAUSE

    private fun merge(
        message: CrashEvidence,
        now: Instant,
    ) {
        val received = LostRequest.of(message, now)
        val known = evidence[received.id]
        if (known == null) {
            val isOwn = received.id.observer == own && received.id.incarnation == incarnation
            if (!isOwn) {
                add(received, nextReportAt = now + REPEAT_PAUSE, keptUntil = now + LEARNING_TIME)
            }
            return
        }
        val merged = known.request.mergedWith(received)
        if (merged != known.request) {
            add(merged, known.nextReportAt, known.keptUntil)
        }
        val digest = received.request ?: return
        val completedAt = completions[digest]
        if (completedAt != null && received.at < completedAt) {
            completions.report(digest, completedAt)
        }
    }

    private fun add(
        request: LostRequest,
        nextReportAt: Instant,
        keptUntil: Instant = request.at,
    ) {
        evidence.put(KnownEvidence(request, nextReportAt, keptUntil))
        for (part in request.parts) {
            val answeredAt = answers[part]
            if (answeredAt != null && clear(part, answeredAt)) {
                answers.report(part, answeredAt)
            }
        }
        val digest = request.request ?: return
        val completedAt = completions[digest]
        if (completedAt != null && clear(digest, completedAt)) {
            completions.report(digest, completedAt)
        }
    }

    /** Removes [part] from the evidence of crashes before [answeredAt]; returns whether there was any. */
    private fun clear(
        part: PromptPart,
        answeredAt: Instant,
    ): Boolean = evidence.shrink(answeredAt) { if (part in it.parts) it.copy(parts = it.parts - part) else it }

    /** Removes [request] from the evidence of crashes before [answeredAt]; returns whether there was any. */
    private fun clear(
        request: RequestDigest,
        answeredAt: Instant,
    ): Boolean = evidence.shrink(answeredAt) { if (it.request == request) it.copy(request = null) else it }

    private companion object {
        /** Number of processes that repeat evidence. */
        const val REPEATERS = 2

        /** Pieces of evidence, answered parts and completed requests that fit into one datagram. */
        const val EVIDENCE_PER_REPORT = 3
        const val ANSWERS_PER_REPORT = 16
        const val COMPLETIONS_PER_REPORT = 8

        /** Time for which an observer reports its own evidence, whoever repeats it. */
        val OWN_REPORT_TIME = 1.seconds
        val OWN_REPORT_PAUSE = 100.milliseconds
        val REPEAT_PAUSE = 1.seconds

        /** Time for which old evidence is kept until the rest of what makes up a verdict has been received. */
        val LEARNING_TIME = 3.seconds
    }
}
