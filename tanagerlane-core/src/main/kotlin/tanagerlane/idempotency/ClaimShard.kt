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
 * Decides on the claims of one shard at its home, grouping those that come while a call of the object API is under way.
 *
 * A request is granted only after the object API has confirmed its claim, or after reading it back. One lock for each
 * shard; safe for use by several threads.
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
    private var isCalling = false
    private var proposed: List<Claim> = emptyList()

    /** Decides on a request at once, or returns null when a call of the object API must come first. */
    @Synchronized
    public fun submit(claim: Claim): ClaimDecision? {
        require(claim.owner == owner && claim.incarnation == incarnation) { "claim for another owner: $claim" }
        val known = stored[claim.key]
        return when {
            isRead && known != null && mayDecideAtOnce(known) -> decide(known, claim)
            waiting.size >= settings.maximumWaiting -> notRun(RefusalReason.OVERLOADED)
            else -> null.also { waiting[claim.request] = claim }
        }
    }

    /** Keeps [answer] of a granted request with its claim if it is small enough; it is written with the next claims. */
    @Synchronized
    public fun recordAnswer(
        key: ClaimKey,
        answer: StoredAnswer,
    ) {
        if (answer.body.size <= settings.maximumAnswerBytes) {
            answers[key] = answer
        }
    }

    /** Returns the call to make next, or null when one is under way or none is needed. */
    @Synchronized
    public fun nextCall(now: Instant): ClaimCall? {
        if (isCalling || (waiting.isEmpty() && answers.isEmpty())) {
            return null
        }
        isCalling = true
        if (!isRead) {
            return ClaimCall.Read
        }
        proposed = proposal(now)
        return ClaimCall.Write(ClaimSet(proposed), version)
    }

    /** Takes in what was read; [read] is empty and [at] null when there is no object. */
    @Synchronized
    public fun onRead(
        read: ClaimSet,
        at: ObjectVersion?,
    ): List<DecidedClaim> {
        isCalling = false
        adopt(read.claims, at)
        return decideWaiting(confirmed = false)
    }

    /** Takes in that the write took effect. */
    @Synchronized
    public fun onWritten(at: ObjectVersion): List<DecidedClaim> {
        isCalling = false
        adopt(proposed, at)
        return decideWaiting(confirmed = true)
    }

    /** Takes in that the call failed; where it may have taken effect, or another host wrote, the object is read again. */
    @Synchronized
    public fun onFailed(failure: StoreFailure): List<DecidedClaim> {
        isCalling = false
        isRead = isRead && failure is StoreFailure.Unavailable
        return when (failure) {
            is StoreFailure.Conflict, is StoreFailure.OutcomeUnknown, StoreFailure.HistoryGone -> emptyList()
            is StoreFailure.NotFound -> emptyList<DecidedClaim>().also { adopt(emptyList(), null) }
            is StoreFailure.TooLarge -> refuseWaiting(RefusalReason.OVERLOADED)
            is StoreFailure.Unavailable -> refuseWaiting(RefusalReason.STORE_UNAVAILABLE)
        }
    }

    /** Gives up requests whose deadline has come while they waited; they are not run. */
    @Synchronized
    public fun withdraw(request: RequestId): Boolean = waiting.remove(request) != null

    private fun adopt(
        claims: List<Claim>,
        at: ObjectVersion?,
    ) {
        stored.clear()
        claims.associateByTo(stored) { it.key }
        answers.entries.removeIf { (key, answer) -> stored[key]?.answer == answer || stored[key]?.isOwn() != true }
        version = at
        isRead = true
    }

    private fun proposal(now: Instant): List<Claim> {
        val oldest = (now - settings.retention).epochSeconds
        stored.values.filter { it.claimedAt <= oldest }.forEach { granted.remove(it.key) }
        val kept = stored.values.filter { it.claimedAt > oldest }.map { it.copy(answer = it.answer ?: answers[it.key]) }
        val keys = kept.map { it.key }.toSet()
        val room = maxOf(settings.maximumClaims - kept.size, 0)
        return kept +
            waiting.values
                .filter { it.key !in keys }
                .distinctBy { it.key }
                .take(room)
    }

    /** Decides on those that wait and are settled by what is stored; the others wait for the next write. */
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

    /** Grants a claim that this incarnation stored to the first of its repeats; the others join that one. */
    private fun joinOrGrant(claim: Claim): ClaimDecision {
        val running = granted.putIfAbsent(claim.key, claim.request)
        return if (running == null) ClaimDecision.Granted else ClaimDecision.Joined(running)
    }

    private fun mayDecideAtOnce(known: Claim) = known.isOwn() || known.answer != null

    private fun refuseWaiting(reason: RefusalReason): List<DecidedClaim> =
        waiting.keys.map { DecidedClaim(it, notRun(reason)) }.also { waiting.clear() }

    private fun notRun(reason: RefusalReason) = ClaimDecision.Refused(RunState.NOT_RUN, reason)

    private fun Claim.isOwn() = owner == this@ClaimShard.owner && incarnation == this@ClaimShard.incarnation
}
