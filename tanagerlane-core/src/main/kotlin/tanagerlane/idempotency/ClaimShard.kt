package tanagerlane.idempotency

import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Instant

/**
 * Decides on the claims of one shard at its home sidecar.
 *
 * Claims that arrive while a call of the object API is in flight are batched into the next write.
 *
 * A request is granted only after the object API has confirmed its claim, or after the claim was read back. Each shard
 * has its own lock. Thread-safe.
 */
public class ClaimShard(
    private val owner: TargetName,
    private val incarnation: Incarnation,
    private val settings: ClaimSettings = ClaimSettings(),
) {
    private val stored = LinkedHashMap<ClaimKey, Claim>()
    private val waiting = LinkedHashMap<RequestId, Claim>()
    private val granted = HashMap<ClaimKey, RequestId>()
    private val answers = LinkedHashMap<ClaimKey, StoredAnswer>()
    private var version: ObjectVersion? = null
    private var isRead = false
    private var isCallInFlight = false
    private var proposed: List<Claim> = emptyList()

    /**
     * Decides on a request immediately, or queues it and returns null if a call of the object API is needed first.
     *
     * @throws IllegalArgumentException if [claim] names another owner or incarnation
     */
    @Synchronized
    public fun submit(claim: Claim): ClaimDecision? {
        require(claim.owner == owner && claim.incarnation == incarnation) {
            "claim belongs to another owner or incarnation: $claim"
        }
        val known = stored[claim.key]
        return when {
            isRead && known != null && canDecideImmediately(known) -> decide(known, claim)
            waiting.size >= settings.maximumWaiting -> notRun(RefusalReason.OVERLOADED)
            else -> null.also { waiting[claim.request] = claim }
        }
    }

    /** Attaches [answer] of a granted request to its claim if it is small enough; it is stored with the next write. */
    @Synchronized
    public fun recordAnswer(
        key: ClaimKey,
        answer: StoredAnswer,
    ) {
        if (answer.body.size <= settings.maximumAnswerBytes) {
            answers[key] = answer
        }
    }

    /** Returns the next call to make, or null if one is in flight or none is needed. */
    @Synchronized
    public fun nextCall(now: Instant): ClaimCall? {
        if (isCallInFlight || (waiting.isEmpty() && answers.isEmpty())) {
            return null
        }
        isCallInFlight = true
        if (!isRead) {
            return ClaimCall.Read
        }
        proposed = proposal(now)
        return ClaimCall.Write(ClaimSet(proposed), version)
    }

    /** Handles the result of a read; [read] is empty and [readVersion] null if the object does not exist. */
    @Synchronized
    public fun onRead(
        read: ClaimSet,
        readVersion: ObjectVersion?,
    ): List<DecidedClaim> {
        isCallInFlight = false
        adopt(read.claims, readVersion)
        return decideWaiting(confirmed = false)
    }

    /** Handles the success of a write, which gave the object [writtenVersion]. */
    @Synchronized
    public fun onWritten(writtenVersion: ObjectVersion): List<DecidedClaim> {
        isCallInFlight = false
        adopt(proposed, writtenVersion)
        return decideWaiting(confirmed = true)
    }

    /** Handles a failed call; if it may have taken effect, or another host wrote, the object is read again. */
    @Synchronized
    public fun onFailed(failure: StoreFailure): List<DecidedClaim> {
        isCallInFlight = false
        isRead = isRead && failure is StoreFailure.Unavailable
        return when (failure) {
            is StoreFailure.Conflict, is StoreFailure.OutcomeUnknown, StoreFailure.HistoryGone -> emptyList()
            is StoreFailure.NotFound -> emptyList<DecidedClaim>().also { adopt(emptyList(), null) }
            is StoreFailure.TooLarge -> refuseWaiting(RefusalReason.OVERLOADED)
            is StoreFailure.Unavailable -> refuseWaiting(RefusalReason.STORE_UNAVAILABLE)
        }
    }

    /** Withdraws a request whose deadline expired while it waited; it is not run. Returns whether it was waiting. */
    @Synchronized
    public fun withdraw(request: RequestId): Boolean = waiting.remove(request) != null

    private fun adopt(
        claims: List<Claim>,
        storedVersion: ObjectVersion?,
    ) {
        stored.clear()
        claims.associateByTo(stored) { it.key }
        answers.entries.removeIf { (key, answer) -> stored[key]?.answer == answer || stored[key]?.isOwn() != true }
        version = storedVersion
        isRead = true
    }

    private fun proposal(now: Instant): List<Claim> {
        val oldest = (now - settings.retention).epochSeconds
        stored.values.filter { it.claimedAt <= oldest }.forEach { granted.remove(it.key) }
        val retained =
            stored.values.filter { it.claimedAt > oldest }.map {
                it.copy(
                    answer =
                        it.answer ?: answers[it.key],
                )
            }
        val keys = retained.map { it.key }.toSet()
        val capacityLeft = maxOf(settings.maximumClaims - retained.size, 0)
        return retained +
            waiting.values
                .filter { it.key !in keys }
                .distinctBy { it.key }
                .take(capacityLeft)
    }

    /** Decides on the waiting requests that the stored claims settle; the others wait for the next write. */
    private fun decideWaiting(confirmed: Boolean): List<DecidedClaim> {
        val decided = ArrayList<DecidedClaim>()
        for (claim in waiting.values.toList()) {
            val known = stored[claim.key]
            val decision =
                when {
                    known != null -> decide(known, claim)
                    confirmed && stored.size >= settings.maximumClaims -> notRun(RefusalReason.OVERLOADED)
                    else -> continue
                }
            waiting.remove(claim.request)
            decided += DecidedClaim(claim.request, decision)
        }
        return decided
    }

    private fun decide(
        known: Claim,
        claim: Claim,
    ): ClaimDecision {
        val answer = known.answer ?: answers[known.key]
        return when {
            known.digest != claim.digest -> notRun(RefusalReason.CONFLICT)
            answer != null -> ClaimDecision.Answered(answer)
            !known.isOwn() -> ClaimDecision.Refused(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
            else -> joinOrGrant(claim)
        }
    }

    /** Grants a claim stored by this incarnation to the first request with its key; later ones join that request. */
    private fun joinOrGrant(claim: Claim): ClaimDecision {
        val running = granted.putIfAbsent(claim.key, claim.request)
        return if (running == null) ClaimDecision.Granted else ClaimDecision.Joined(running)
    }

    private fun canDecideImmediately(known: Claim) = known.isOwn() || known.answer != null

    private fun refuseWaiting(reason: RefusalReason): List<DecidedClaim> =
        waiting.keys.map { DecidedClaim(it, notRun(reason)) }.also { waiting.clear() }

    private fun notRun(reason: RefusalReason) = ClaimDecision.Refused(RunState.NOT_RUN, reason)

    private fun Claim.isOwn() = owner == this@ClaimShard.owner && incarnation == this@ClaimShard.incarnation
}
