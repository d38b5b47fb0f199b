package tanagerlane.attempts

import tanagerlane.message.Accepted
import tanagerlane.message.AnswerHead
import tanagerlane.message.AttemptFailed
import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.Offer
import tanagerlane.message.Resolve
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One independently locked shard of an [AttemptTable]. */
internal class AttemptShard(
    private val incarnation: Incarnation,
    private val limits: AttemptLimits,
) {
    private val records = LinkedHashMap<AttemptId, AttemptRecord>()
    private val notRun = NotRunAttempts(limits)
    private val ended = EndedAttempts(limits)
    private val maximumRecords = limits.maximumAttempts / limits.shards
    private val maximumBytes = limits.maximumBytes / limits.shards
    private var nextExpiryAt = Instant.DISTANT_PAST

    @get:Synchronized
    var bufferedBytes = 0L
        private set

    val size: Int
        @Synchronized get() = records.size

    @Synchronized
    fun offer(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): OfferDecision {
        expireLocked(now)
        ended.failureOf(offer.attempt)?.let { return OfferDecision.Joined(listOf(it)) }
        val record = records[offer.attempt] ?: return decideNew(offer, source, now)
        if (record.digest != OfferDigest.of(offer)) {
            return OfferDecision.Conflict
        }
        record.attach(source)
        return OfferDecision.Joined(record.messagesFrom(received = 0))
    }

    @Synchronized
    fun start(
        attempt: AttemptId,
        now: Instant,
    ): StartDecision {
        val record = records[attempt]
        return when {
            record == null || record.started || record.outcome != null -> StartDecision.Skip(null)
            now >= record.deadline -> StartDecision.Skip(record.failNotRun(RefusalReason.DEADLINE_EXCEEDED, now))
            else -> StartDecision.Call.also { record.started = true }
        }
    }

    fun head(
        head: AnswerHead,
        now: Instant,
    ): Delivery? =
        update(head.attempt, now) { record ->
            record.head = head
            record.delivery(head)
        }

    /** Applies [change] to the attempt unless it is unknown or has ended. */
    @Synchronized
    private fun update(
        attempt: AttemptId,
        now: Instant,
        change: (AttemptRecord) -> Delivery?,
    ): Delivery? {
        expireLocked(now)
        return findRunning(attempt)?.let(change)
    }

    fun append(
        attempt: AttemptId,
        bytes: Payload,
        now: Instant,
    ): Delivery? =
        update(attempt, now) { record ->
            val fragment = record.append(bytes)
            bufferedBytes += bytes.size
            evictAnswers(record)
            record.delivery(fragment)
        }

    fun end(
        attempt: AttemptId,
        now: Instant,
    ): Delivery? =
        update(attempt, now) { record ->
            record.end(record.endMessage(), now)
            record.delivery(record.endMessage())
        }

    fun fail(
        attempt: AttemptId,
        runState: RunState,
        reason: RefusalReason,
        now: Instant,
    ): Delivery? =
        update(attempt, now) { record ->
            when (runState) {
                RunState.NOT_RUN -> record.failNotRun(reason, now)
                RunState.UNKNOWN -> record.failUnknown(reason, now)
            }
        }

    @Synchronized
    fun resolve(
        resolve: Resolve,
        source: OfferSource,
        now: Instant,
    ): List<WireMessage> {
        expireLocked(now)
        val record = records[resolve.attempt]
        if (record == null) {
            val failure = ended.failureOf(resolve.attempt) ?: notRun.failureOf(resolve.attempt)
            return listOf(failure ?: neverSeen(resolve.attempt, now))
        }
        record.attach(source)
        return record.messagesFrom(resolve.received)
    }

    @Synchronized
    fun cancel(
        attempt: AttemptId,
        now: Instant,
    ): CancelDecision {
        val record = records[attempt]
        return when {
            record == null -> CancelDecision.NOTHING.also { notRun.add(attempt, now) }
            record.outcome != null -> CancelDecision.NOTHING
            record.started -> CancelDecision.STOP.also { record.failUnknown(RefusalReason.OUTCOME_UNKNOWN, now) }
            else -> CancelDecision.NOT_STARTED.also { record.failNotRun(RefusalReason.DEADLINE_EXCEEDED, now) }
        }
    }

    @Synchronized
    fun detach(
        session: SessionId,
        now: Instant,
    ): Unit = records.values.forEach { it.detach(session, now) }

    @Synchronized
    fun expire(now: Instant): List<AttemptId> {
        expireLocked(now)
        return records.values
            .filter { it.outcome == null && it.orphanedAt.hasElapsed(limits.orphanTimeout, now) }
            .map { it.attempt }
    }

    private fun decideNew(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): OfferDecision {
        val expected = offer.expectedIncarnation
        if (expected != null && expected != incarnation) {
            return OfferDecision.WrongIncarnation(neverSeen(offer.attempt, now))
        }
        val reason = refusalOf(offer, source, now) ?: return accept(offer, source, now)
        notRun.add(offer.attempt, now)
        return OfferDecision.Refused(NotRun(offer.attempt, reason))
    }

    private fun refusalOf(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): RefusalReason? =
        when {
            notRun.contains(offer.attempt, now) -> RefusalReason.OVERLOADED
            offer.remaining <= Duration.ZERO -> RefusalReason.DEADLINE_EXCEEDED
            now - source.answeredProbeSentAt > limits.maximumOfferAge -> RefusalReason.NO_TARGET
            records.size >= maximumRecords && !forgetOldestAnswer() -> RefusalReason.OVERLOADED
            else -> null
        }

    private fun accept(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): OfferDecision {
        records[offer.attempt] =
            AttemptRecord(
                attempt = offer.attempt,
                digest = OfferDigest.of(offer),
                deadline = now + offer.remaining,
                incarnation = incarnation,
                source = source,
            )
        return OfferDecision.Run(listOf(Accepted(offer.attempt, incarnation)))
    }

    /** Discards the answer of the attempt that began first among those that have ended; returns false if none can be. */
    private fun forgetOldestAnswer(): Boolean {
        val oldest = records.values.firstOrNull { it.outcome != null } ?: return false
        val isForgotten = ended.add(oldest.attempt, until = oldest.deadline + limits.deadlineMargin)
        if (isForgotten) {
            bufferedBytes -= oldest.dropBytes()
            records.remove(oldest.attempt)
        }
        return isForgotten
    }

    private fun neverSeen(
        attempt: AttemptId,
        now: Instant,
    ): NeverSeen {
        notRun.add(attempt, now)
        return NeverSeen(attempt, incarnation)
    }

    private fun AttemptRecord.failNotRun(
        reason: RefusalReason,
        now: Instant,
    ): Delivery? {
        val failed = AttemptFailed(attempt, RunState.NOT_RUN, reason)
        records.remove(attempt)
        notRun.add(failed, now)
        this@AttemptShard.bufferedBytes -= dropBytes()
        return delivery(failed)
    }

    private fun AttemptRecord.failUnknown(
        reason: RefusalReason,
        now: Instant,
    ): Delivery? {
        val failed = AttemptFailed(attempt, RunState.UNKNOWN, reason)
        end(failed, now)
        this@AttemptShard.bufferedBytes -= dropBytes()
        return delivery(failed)
    }

    private fun findRunning(attempt: AttemptId): AttemptRecord? = records[attempt]?.takeIf { it.outcome == null }

    /** Discards retained answers, the oldest first, and finally the bytes of [newest] itself. */
    private fun evictAnswers(newest: AttemptRecord) {
        if (bufferedBytes <= maximumBytes) {
            return
        }
        val candidates = records.values.filter { it.outcome != null && it.bufferedBytes > 0 } + newest
        for (candidate in candidates) {
            if (bufferedBytes <= maximumBytes) {
                return
            }
            bufferedBytes -= candidate.dropBytes()
        }
    }

    private fun expireLocked(now: Instant) {
        if (now < nextExpiryAt) {
            return
        }
        nextExpiryAt = now + EXPIRY_INTERVAL
        ended.expire(now)
        val expired = records.values.filter { it.isExpired(now) }
        expired.forEach {
            bufferedBytes -= it.dropBytes()
            records.remove(it.attempt)
        }
    }

    private fun AttemptRecord.isExpired(now: Instant): Boolean =
        endedAt.hasElapsed(limits.answerRetention, now) && now >= deadline + limits.deadlineMargin

    private fun Instant?.hasElapsed(
        bound: Duration,
        now: Instant,
    ): Boolean = this != null && now - this >= bound

    private companion object {
        val EXPIRY_INTERVAL = 1.seconds
    }
}
