package tanagerlane.attempts

import tanagerlane.message.AnswerHead
import tanagerlane.message.Cancel
import tanagerlane.message.Offer
import tanagerlane.message.Resolve
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.routing.StableHash
import kotlin.time.Instant

/**
 * The attempts that a sidecar has seen: those that run, those that ended and those that must never run.
 *
 * An attempt is known at least until its deadline has passed, so a sender that hears that an attempt was never seen
 * before the deadline may rely on it. Safe for use by several threads.
 */
public class AttemptTable(
    private val incarnation: Incarnation,
    limits: AttemptLimits = AttemptLimits(),
) {
    private val shards = List(limits.shards) { AttemptShard(incarnation, limits) }

    /** Number of attempts that are running or kept. */
    public val size: Int get() = shards.sumOf { it.size }

    /** Bytes of answers that are kept for resending. */
    public val bufferedBytes: Long get() = shards.sumOf { it.bufferedBytes }

    /** Decides on [offer]; the answer to the sender goes out before the target is called. */
    public fun offer(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): OfferDecision = shardOf(offer.attempt).offer(offer, source, now)

    /** Asks whether the target may be called now, which holds once for each attempt. */
    public fun start(
        attempt: AttemptId,
        now: Instant,
    ): StartDecision = shardOf(attempt).start(attempt, now)

    /** Records the head of the target's answer. */
    public fun head(
        head: AnswerHead,
        now: Instant,
    ): Delivery? = shardOf(head.attempt).head(head, now)

    /** Records further [bytes] of the answer's body. */
    public fun append(
        attempt: AttemptId,
        bytes: Payload,
        now: Instant,
    ): Delivery? = shardOf(attempt).append(attempt, bytes, now)

    /** Records that the answer is complete. */
    public fun end(
        attempt: AttemptId,
        now: Instant,
    ): Delivery? = shardOf(attempt).end(attempt, now)

    /** Records that no whole answer will come; [RunState.NOT_RUN] only when the target certainly was not called. */
    public fun fail(
        attempt: AttemptId,
        runState: RunState,
        reason: RefusalReason,
        now: Instant,
    ): Delivery? = shardOf(attempt).fail(attempt, runState, reason, now)

    /** Answers [resolve] on the connection of [source]; an attempt that was never seen is never run from then on. */
    public fun resolve(
        resolve: Resolve,
        source: OfferSource,
        now: Instant,
    ): List<WireMessage> = shardOf(resolve.attempt).resolve(resolve, source, now)

    /** Stops an attempt whose caller has gone; one that was never seen is never run from then on. */
    public fun cancel(
        cancel: Cancel,
        now: Instant,
    ): CancelDecision = shardOf(cancel.attempt).cancel(cancel.attempt, now)

    /** Forgets the connection [session]; its attempts go on and wait to be resolved. */
    public fun detach(
        session: SessionId,
        now: Instant,
    ): Unit = shards.forEach { it.detach(session, now) }

    /** Forgets what has been kept long enough and returns running attempts that no connection has claimed. */
    public fun expire(now: Instant): List<AttemptId> = shards.flatMap { it.expire(now) }

    private fun shardOf(attempt: AttemptId): AttemptShard =
        shards[Math.floorMod(StableHash.of(attempt.request.text), shards.size)]
}
