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
 * The attempts known to a sidecar: those that are running, those that have ended and those that must never run.
 *
 * An attempt stays known at least until its deadline has passed, so a sender can rely on a
 * [NeverSeen][tanagerlane.message.NeverSeen] that it receives before the deadline. Thread-safe.
 */
public class AttemptTable(
    private val incarnation: Incarnation,
    limits: AttemptLimits = AttemptLimits(),
) {
    private val shards = List(limits.shards) { AttemptShard(incarnation, limits) }

    /** Number of attempts that are running or retained. */
    public val size: Int get() = shards.sumOf { it.size }

    /** Total bytes of answers retained for resending. */
    public val bufferedBytes: Long get() = shards.sumOf { it.bufferedBytes }

    /** Decides on [offer]; send the replies to the sender before calling the target. */
    public fun offer(
        offer: Offer,
        source: OfferSource,
        now: Instant,
    ): OfferDecision = shardOf(offer.attempt).offer(offer, source, now)

    /** Decides whether the target may be called now; returns [StartDecision.Call] at most once for each attempt. */
    public fun start(
        attempt: AttemptId,
        now: Instant,
    ): StartDecision = shardOf(attempt).start(attempt, now)

    /** Records the status and headers of the target's answer. */
    public fun head(
        head: AnswerHead,
        now: Instant,
    ): Delivery? = shardOf(head.attempt).head(head, now)

    /** Records the next [bytes] of the answer's body. */
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

    /** Records that no complete answer follows; [RunState.NOT_RUN] only if the target was certainly not called. */
    public fun fail(
        attempt: AttemptId,
        runState: RunState,
        reason: RefusalReason,
        now: Instant,
    ): Delivery? = shardOf(attempt).fail(attempt, runState, reason, now)

    /** Answers [resolve] on the connection of [source]; an unknown attempt is barred from running later. */
    public fun resolve(
        resolve: Resolve,
        source: OfferSource,
        now: Instant,
    ): List<WireMessage> = shardOf(resolve.attempt).resolve(resolve, source, now)

    /** Cancels an attempt whose caller has disconnected; an unknown attempt is barred from running later. */
    public fun cancel(
        cancel: Cancel,
        now: Instant,
    ): CancelDecision = shardOf(cancel.attempt).cancel(cancel.attempt, now)

    /** Removes the connection [session] from all attempts; they keep running and can be resolved on another one. */
    public fun detach(
        session: SessionId,
        now: Instant,
    ): Unit = shards.forEach { it.detach(session, now) }

    /** Removes expired attempts; returns running ones without a connection for [AttemptLimits.orphanTimeout]. */
    public fun expire(now: Instant): List<AttemptId> = shards.flatMap { it.expire(now) }

    private fun shardOf(attempt: AttemptId): AttemptShard =
        shards[Math.floorMod(StableHash.of(attempt.request.text), shards.size)]
}
