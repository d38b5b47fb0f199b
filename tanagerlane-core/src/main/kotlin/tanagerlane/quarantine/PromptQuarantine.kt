package tanagerlane.quarantine

import tanagerlane.message.AnsweredPart
import tanagerlane.message.CrashEvidence
import tanagerlane.message.CrashReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.TargetName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Finds parts of prompts that crash targets, from what all processes observe, and keeps requests with them from targets.
 *
 * Evidence for a part are crashes in which a request with it was lost before its first event; evidence against it is any
 * answer that was written with it since. A part is quarantined for a term that grows with each further crash; after it,
 * requests with the part are sent again, so that a wrong verdict corrects itself. Thread-safe.
 */
public class PromptQuarantine(
    private val own: HostName,
    private val incarnation: Incarnation,
    private val settings: QuarantineSettings = QuarantineSettings(),
) {
    private val lock = Any()
    private val analysis = CrashAnalysis(settings)
    private val evidence = LinkedHashMap<EvidenceId, KnownEvidence>()
    private val answered = HashMap<PromptPart, Instant>()

    /** Latest answers that this process has seen, by part; evidence of earlier crashes may arrive after them. */
    private val latestAnswers =
        object : LinkedHashMap<PromptPart, Instant>() {
            override fun removeEldestEntry(eldest: Map.Entry<PromptPart, Instant>): Boolean =
                size > settings.maximumAnswers
        }
    private var quarantined: Map<PromptPart, QuarantinedPart> = emptyMap()
    private var evidenceCount = 0L

    /** Whether evidence has changed since the verdicts were reached. */
    private var isChanged = false

    /** Whether there is evidence to be reported. */
    public val isEmpty: Boolean get() = synchronized(lock) { evidence.isEmpty() && answered.isEmpty() }

    /** Parts for which the evidence suffices, including those whose term is over. */
    public val parts: Collection<QuarantinedPart> get() = synchronized(lock) { quarantined.values }

    /**
     * Records that a request of this process with the shared [parts] was lost before its first event, as its target
     * crashed.
     *
     * @param hasBegun whether the target had begun to answer the request
     */
    public fun lost(
        target: TargetName,
        parts: List<PromptPart>,
        hasBegun: Boolean,
        now: Instant,
    ) {
        if (parts.isEmpty()) {
            return
        }
        synchronized(lock) {
            val id = EvidenceId(own, incarnation, ++evidenceCount)
            add(LostRequest(id, target, now, hasBegun, parts.take(MAXIMUM_PARTS)), nextReportAt = now)
            forget(now)
            update()
        }
    }

    /** Records that a target has written an event of an answer to a request with the shared [parts]. */
    public fun answered(
        parts: List<PromptPart>,
        now: Instant,
    ) {
        synchronized(lock) {
            for (part in parts.take(MAXIMUM_PARTS)) {
                latestAnswers.remove(part)
                latestAnswers[part] = now
            }
            val cleared = parts.filter { clear(it, now) }
            if (cleared.isNotEmpty()) {
                cleared.forEach { answered[it] = now }
                update()
            }
        }
    }

    /** Returns the part because of which a request with the shared [parts] must not reach a target, or null. */
    public fun findQuarantined(
        parts: List<PromptPart>,
        now: Instant,
    ): QuarantinedPart? =
        synchronized(lock) {
            if (quarantined.isEmpty()) {
                null
            } else {
                parts.firstNotNullOfOrNull { part -> quarantined[part]?.takeIf { it.until > now } }
            }
        }

    /** Merges a [report] of another process. */
    public fun received(
        report: CrashReport,
        now: Instant,
    ) {
        synchronized(lock) {
            report.evidence.forEach { merge(it, now) }
            report.answered.forEach { clear(it.part, now - it.age) }
            update()
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
            forget(now)
            update()
            val due = evidence.values.filter { it.nextReportAt <= now }
            due.forEach { it.nextReportAt = now + reportPause(it.request, now) }
            val reported =
                due.filter {
                    it.request.isFreshOwn(now) || (counts(it.request, now) && it.request.isRepeatedHere(reachable))
                }
            val answers = answered.map { (part, at) -> AnsweredPart(part, now - at) }
            answered.values.removeIf { now - it > ANSWER_REPORT_TIME }
            val chunks = reported.map { messageOf(it.request, now) }.chunked(EVIDENCE_PER_REPORT)
            val answerChunks = answers.chunked(ANSWERS_PER_REPORT)
            List(maxOf(chunks.size, answerChunks.size)) { index ->
                CrashReport(own, chunks.getOrElse(index) { emptyList() }, answerChunks.getOrElse(index) { emptyList() })
            }
        }

    private fun LostRequest.isFreshOwn(now: Instant): Boolean = id.observer == own && now - at <= OWN_REPORT_TIME

    private fun LostRequest.isRepeatedHere(reachable: Set<HostName>): Boolean =
        own in RendezvousHash.ranked(target.text, reachable + own) { it.text }.take(REPEATERS)

    private fun reportPause(
        request: LostRequest,
        now: Instant,
    ): Duration = if (request.isFreshOwn(now)) OWN_REPORT_PAUSE else REPEAT_PAUSE

    private fun merge(
        message: CrashEvidence,
        now: Instant,
    ) {
        val id = EvidenceId(message.observer, message.incarnation, message.number)
        val known = evidence[id]
        val request =
            if (known == null) {
                LostRequest(id, message.target, now - message.age, message.hasBegun, message.parts.take(MAXIMUM_PARTS))
            } else {
                known.request.copy(parts = known.request.parts.filter { it in message.parts })
            }
        val isOwn = id.observer == own && id.incarnation == incarnation
        val tellsNothing = known != null && known.request.parts == request.parts
        if (!tellsNothing && (known != null || !isOwn)) {
            add(
                request,
                nextReportAt = known?.nextReportAt ?: (now + REPEAT_PAUSE),
                keptUntil = known?.keptUntil ?: (now + LEARNING_TIME),
            )
        }
    }

    private fun add(
        request: LostRequest,
        nextReportAt: Instant,
        keptUntil: Instant = request.at,
    ) {
        evidence[request.id] = KnownEvidence(request, nextReportAt, keptUntil)
        isChanged = true
        for (part in request.parts) {
            val answeredAt = latestAnswers[part]
            if (answeredAt != null && clear(part, answeredAt)) {
                answered[part] = answeredAt
            }
        }
    }

    /** Removes [part] from the evidence of crashes before [answeredAt]; returns whether there was any. */
    private fun clear(
        part: PromptPart,
        answeredAt: Instant,
    ): Boolean {
        var isCleared = false
        for (known in evidence.values) {
            if (part in known.request.parts && known.request.at < answeredAt) {
                known.request = known.request.copy(parts = known.request.parts - part)
                isCleared = true
                isChanged = true
            }
        }
        return isCleared
    }

    private fun forget(now: Instant) {
        if (evidence.values.removeIf { known -> known.keptUntil < now && !counts(known.request, now) }) {
            isChanged = true
        }
    }

    /** Reaches the verdicts again if evidence has changed. */
    private fun update() {
        while (evidence.size > settings.maximumEvidence) {
            evidence.remove(leastUseful().request.id)
        }
        if (isChanged) {
            isChanged = false
            quarantined =
                analysis.explain(evidence.values.map { it.request }) { it in latestAnswers }.associateBy { it.part }
        }
    }

    /** Returns the oldest evidence, if possible one on which no verdict rests. */
    private fun leastUseful(): KnownEvidence =
        evidence.values.minWith(
            compareBy({ known -> known.request.parts.any { it in quarantined } }, { it.request.at }),
        )

    /** Evidence without parts is kept for a while, since other processes repeat it with the parts that they know. */
    private fun counts(
        request: LostRequest,
        now: Instant,
    ): Boolean {
        val terms = request.parts.mapNotNull { quarantined[it]?.until }
        val countsUntil = (terms + request.at).max() + settings.evidenceLifetime
        return countsUntil >= now
    }

    private fun messageOf(
        request: LostRequest,
        now: Instant,
    ) = CrashEvidence(
        observer = request.id.observer,
        incarnation = request.id.incarnation,
        number = request.id.number,
        target = request.target,
        age = now - request.at,
        hasBegun = request.hasBegun,
        parts = request.parts,
    )

    private class KnownEvidence(
        var request: LostRequest,
        var nextReportAt: Instant,
        val keptUntil: Instant,
    )

    private companion object {
        /** Number of processes that repeat evidence. */
        const val REPEATERS = 2

        /** Number of parts of a prompt that are remembered. */
        const val MAXIMUM_PARTS = 8

        /** Pieces of evidence, and answered parts, that fit into one datagram. */
        const val EVIDENCE_PER_REPORT = 4
        const val ANSWERS_PER_REPORT = 16

        /** Time for which an observer reports its own evidence, whoever repeats it. */
        val OWN_REPORT_TIME = 1.seconds
        val OWN_REPORT_PAUSE = 100.milliseconds
        val REPEAT_PAUSE = 1.seconds

        /** Time for which old evidence is kept until the rest of what makes up a verdict has been received. */
        val LEARNING_TIME = 3.seconds

        /** Time for which it is reported that an answer was written with a suspected part. */
        val ANSWER_REPORT_TIME = 1.seconds
    }
}
