package tanagerlane.attempts

import tanagerlane.message.Accepted
import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.message.AttemptFailed
import tanagerlane.message.Cancel
import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.Resolve
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import kotlin.time.Instant

/**
 * Follows one request over its attempts and decides what its caller hears.
 *
 * A refusal says that the request did not run only when every attempt is known not to have run and never to run. Not
 * safe for use by several threads at once.
 */
public class AttemptTracker(
    private val request: TrackedRequest,
    private val policy: AttemptPolicy = AttemptPolicy(),
) {
    /** Where the current attempt stands. */
    public var state: AttemptState = AttemptState.PICKING
        private set

    /** Messages that were ignored because they were late, repeated or meant for something else. */
    public var ignoredMessages: Int = 0
        private set

    private val tried = LinkedHashSet<TargetName>()
    private var attemptNumber = 1
    private var target: TargetName? = null
    private var incarnation: Incarnation? = null
    private var acceptanceHeard = false
    private var mayHaveRun = false
    private var resolveSent = false
    private var sentAt = Instant.DISTANT_PAST
    private var resolvingSince: Instant? = null
    private var timerAt = request.deadline
    private var answer = AnswerRelay(policy.maximumReorderedBytes)

    private val attempt: AttemptId get() = AttemptId(request.id, attemptNumber)
    private val isOver: Boolean get() = state == AttemptState.DONE || state == AttemptState.REFUSED

    /** Begins with the first attempt. */
    public fun begin(): List<AttemptAction> = listOf(setTimer(request.deadline), tryNext())

    /** Takes [event] in and returns what has to be done, in order. */
    public fun handle(
        event: AttemptEvent,
        now: Instant,
    ): List<AttemptAction> =
        when {
            isOver -> if (event is AttemptEvent.Received) ignored() else emptyList()
            event is AttemptEvent.CallerDisconnected -> abandon()
            now >= request.deadline -> lapse()
            state == AttemptState.PICKING -> handlePicking(event, now)
            else -> handleAttempt(event, now)
        }

    private fun handlePicking(
        event: AttemptEvent,
        now: Instant,
    ): List<AttemptAction> =
        when (event) {
            is AttemptEvent.TargetPicked -> offer(event, now)
            is AttemptEvent.NoTarget -> refuse(event.reason)
            is AttemptEvent.Received -> ignored()
            else -> emptyList()
        }

    private fun handleAttempt(
        event: AttemptEvent,
        now: Instant,
    ): List<AttemptAction> =
        when (event) {
            is AttemptEvent.NotSent -> notSent(event)
            is AttemptEvent.Received -> receive(event.message, now)
            is AttemptEvent.ConnectionLost -> if (event.target == target) seekOutcome(now) else emptyList()
            is AttemptEvent.ConnectionOpened -> connectionOpened(event, now)
            is AttemptEvent.TimerFired -> timerFired(now)
            else -> emptyList()
        }

    private fun offer(
        event: AttemptEvent.TargetPicked,
        now: Instant,
    ): List<AttemptAction> {
        state = AttemptState.OFFERED
        target = event.target
        incarnation = event.incarnation
        tried += event.target
        sentAt = now
        val remaining = request.deadline - now
        return listOf(
            AttemptAction.SendOffer(event.target, attempt, event.incarnation, remaining),
            setTimer(now + policy.replyTimeout),
        )
    }

    private fun notSent(event: AttemptEvent.NotSent): List<AttemptAction> =
        if (event.attempt == attempt && !acceptanceHeard) another(RefusalReason.NO_TARGET) else emptyList()

    private fun receive(
        message: WireMessage,
        now: Instant,
    ): List<AttemptAction> =
        when {
            message.attemptOrNull() != attempt -> ignored()
            message is Accepted -> accepted(message)
            message is NotRun -> if (acceptanceHeard) ignored() else another(message.reason)
            message is NeverSeen -> neverSeen(message)
            message is AttemptFailed -> failed(message)
            message is AnswerHead -> answered(answer.add(message), now)
            message is AnswerFragment -> fragmentCame(message, now)
            message is AnswerEnd -> answered(answer.add(message), now)
            else -> ignored()
        }

    private fun accepted(message: Accepted): List<AttemptAction> {
        if (message.incarnation != incarnation) {
            return ignored()
        }
        return heard(if (answer.hasBegun) AttemptState.STREAMING else AttemptState.ACCEPTED)
    }

    private fun neverSeen(message: NeverSeen): List<AttemptAction> =
        if (message.incarnation == incarnation && !acceptanceHeard) {
            another(RefusalReason.NO_TARGET)
        } else {
            lost(RefusalReason.OUTCOME_UNKNOWN)
        }

    private fun failed(message: AttemptFailed): List<AttemptAction> =
        if (message.runState == RunState.NOT_RUN && !answer.hasBegun) another(message.reason) else lost(message.reason)

    private fun fragmentCame(
        message: AnswerFragment,
        now: Instant,
    ): List<AttemptAction> {
        if (message.offset + message.bytes.size <= answer.received) {
            return ignored()
        }
        return answered(answer.add(message), now)
    }

    private fun answered(
        deliveries: List<AttemptAction>,
        now: Instant,
    ): List<AttemptAction> {
        val timer = heard(AttemptState.STREAMING)
        return when {
            answer.isComplete -> (deliveries + AttemptAction.Complete).also { state = AttemptState.DONE }
            answer.hasGap -> deliveries + setTimer(minOf(timerAt, now + policy.replyTimeout))
            else -> deliveries + timer
        }
    }

    /** Notes that the sidecar has the attempt; one whose outcome is still to be asked for stays so. */
    private fun heard(next: AttemptState): List<AttemptAction> {
        acceptanceHeard = true
        if (state == AttemptState.RESOLVING && !resolveSent) {
            return emptyList()
        }
        state = next
        resolvingSince = null
        return listOf(setTimer(request.deadline))
    }

    private fun connectionOpened(
        event: AttemptEvent.ConnectionOpened,
        now: Instant,
    ): List<AttemptAction> {
        if (event.target != target) {
            return emptyList()
        }
        if (event.incarnation != incarnation) {
            return lost(RefusalReason.OUTCOME_UNKNOWN)
        }
        beginResolving(now)
        resolveSent = true
        sentAt = now
        val resolve = Resolve(attempt, received = answer.received)
        return listOf(AttemptAction.SendResolve(event.target, resolve), setTimer(now + policy.replyTimeout))
    }

    private fun timerFired(now: Instant): List<AttemptAction> =
        when {
            now < timerAt -> emptyList()
            mayAbandon(now) -> lost(RefusalReason.OUTCOME_UNKNOWN)
            else -> seekOutcome(now)
        }

    private fun mayAbandon(now: Instant): Boolean {
        val since = resolvingSince ?: return false
        return request.idempotent && !answer.headPassedOn && now - since >= policy.resolveTimeout
    }

    private fun seekOutcome(now: Instant): List<AttemptAction> {
        beginResolving(now)
        resolveSent = false
        val current = checkNotNull(target) { "no target of $attempt" }
        return listOf(AttemptAction.Reconnect(current, sentAt), setTimer(now + policy.replyTimeout))
    }

    private fun beginResolving(now: Instant) {
        state = AttemptState.RESOLVING
        resolvingSince = resolvingSince ?: now
    }

    /** The current attempt may have run and its answer will not come. */
    private fun lost(reason: RefusalReason): List<AttemptAction> {
        mayHaveRun = true
        return listOfNotNull(cancel()) + if (request.idempotent) another(reason) else refuse(reason)
    }

    private fun another(reason: RefusalReason): List<AttemptAction> {
        if (answer.headPassedOn || attemptNumber >= policy.maximumAttempts || reason !in REASONS_TO_RETRY) {
            return refuse(reason)
        }
        attemptNumber++
        state = AttemptState.PICKING
        target = null
        incarnation = null
        acceptanceHeard = false
        resolvingSince = null
        answer = AnswerRelay(policy.maximumReorderedBytes)
        return listOf(setTimer(request.deadline), tryNext())
    }

    private fun refuse(reason: RefusalReason): List<AttemptAction> {
        state = AttemptState.REFUSED
        val runState = if (mayHaveRun) RunState.UNKNOWN else RunState.NOT_RUN
        return listOf(if (answer.headPassedOn) AttemptAction.Abort(reason) else AttemptAction.Refuse(runState, reason))
    }

    private fun lapse(): List<AttemptAction> {
        if (state == AttemptState.PICKING) {
            return refuse(RefusalReason.DEADLINE_EXCEEDED)
        }
        mayHaveRun = true
        return listOfNotNull(cancel()) + refuse(RefusalReason.OUTCOME_UNKNOWN)
    }

    private fun abandon(): List<AttemptAction> {
        state = AttemptState.DONE
        return listOfNotNull(cancel())
    }

    private fun ignored(): List<AttemptAction> {
        ignoredMessages++
        return emptyList()
    }

    private fun cancel(): AttemptAction? = target?.let { AttemptAction.SendCancel(it, Cancel(attempt)) }

    private fun tryNext() = AttemptAction.PickTarget(tried = tried.toSet(), attemptNumber = attemptNumber)

    private fun setTimer(at: Instant): AttemptAction {
        timerAt = minOf(at, request.deadline)
        return AttemptAction.SetTimer(timerAt)
    }

    private companion object {
        val REASONS_TO_RETRY =
            setOf(
                RefusalReason.OVERLOADED,
                RefusalReason.NO_TARGET,
                RefusalReason.SHUTTING_DOWN,
                RefusalReason.OUTCOME_UNKNOWN,
                RefusalReason.TARGET_FAILED,
            )
    }
}
