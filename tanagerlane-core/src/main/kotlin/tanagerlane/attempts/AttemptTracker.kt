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
 * State machine that tracks one request across its attempts and decides what its caller receives.
 *
 * A refusal reports that the request did not run only if every attempt is known not to have run and never to run later.
 * Not thread-safe.
 */
public class AttemptTracker(
    private val request: TrackedRequest,
    private val policy: AttemptPolicy = AttemptPolicy(),
) {
    /** State of the current attempt. */
    public var state: AttemptState = AttemptState.PICKING
        private set

    /** Number of messages ignored because they were late, duplicated or meant for another attempt. */
    public var ignoredMessages: Int = 0
        private set

    private val tried = LinkedHashSet<TargetName>()
    private var attemptNumber = 1
    private var target: TargetName? = null
    private var incarnation: Incarnation? = null
    private var isAccepted = false
    private var mayHaveRun = false
    private var resolveSent = false
    private var sentAt = Instant.DISTANT_PAST
    private var resolvingSince: Instant? = null
    private var timerAt = request.deadline
    private var answer = AnswerRelay(policy.maximumReorderedBytes)

    private val attempt: AttemptId get() = AttemptId(request.id, attemptNumber)
    private val isFinished: Boolean get() = state == AttemptState.DONE || state == AttemptState.REFUSED

    /** Starts the first attempt and returns the actions to take, in order. */
    public fun begin(): List<AttemptAction> = listOf(setTimer(request.deadline), pickTarget())

    /** Handles [event] and returns the actions to take, in order. */
    public fun handle(
        event: AttemptEvent,
        now: Instant,
    ): List<AttemptAction> =
        when {
            isFinished -> if (event is AttemptEvent.Received) ignoreMessage() else emptyList()
            event is AttemptEvent.CallerDisconnected -> callerDisconnected()
            now >= request.deadline -> deadlinePassed()
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
            is AttemptEvent.Received -> ignoreMessage()
            else -> emptyList()
        }

    private fun handleAttempt(
        event: AttemptEvent,
        now: Instant,
    ): List<AttemptAction> =
        when (event) {
            is AttemptEvent.NotSent -> offerNotSent(event)
            is AttemptEvent.Received -> receive(event.message, now)
            is AttemptEvent.ConnectionLost -> if (event.target == target) reconnectToResolve(now) else emptyList()
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

    private fun offerNotSent(event: AttemptEvent.NotSent): List<AttemptAction> =
        if (event.attempt == attempt && !isAccepted) retry(RefusalReason.NO_TARGET) else emptyList()

    private fun receive(
        message: WireMessage,
        now: Instant,
    ): List<AttemptAction> =
        when {
            message.attemptOrNull() != attempt -> ignoreMessage()
            message is Accepted -> accepted(message)
            message is NotRun -> if (isAccepted) ignoreMessage() else retry(message.reason)
            message is NeverSeen -> neverSeen(message)
            message is AttemptFailed -> failed(message)
            message is AnswerHead -> answerProgressed(answer.add(message), now)
            message is AnswerFragment -> fragmentReceived(message, now)
            message is AnswerEnd -> answerProgressed(answer.add(message), now)
            else -> ignoreMessage()
        }

    private fun accepted(message: Accepted): List<AttemptAction> {
        if (message.incarnation != incarnation) {
            return ignoreMessage()
        }
        return confirmAccepted(if (answer.hasBegun) AttemptState.STREAMING else AttemptState.ACCEPTED)
    }

    private fun neverSeen(message: NeverSeen): List<AttemptAction> =
        if (message.incarnation == incarnation && !isAccepted) {
            retry(RefusalReason.NO_TARGET)
        } else {
            answerLost(RefusalReason.OUTCOME_UNKNOWN)
        }

    private fun failed(reply: AttemptFailed): List<AttemptAction> =
        if (reply.runState == RunState.NOT_RUN && !answer.hasBegun) retry(reply.reason) else answerLost(reply.reason)

    private fun fragmentReceived(
        message: AnswerFragment,
        now: Instant,
    ): List<AttemptAction> {
        if (message.offset + message.bytes.size <= answer.received) {
            return ignoreMessage()
        }
        return answerProgressed(answer.add(message), now)
    }

    private fun answerProgressed(
        deliveries: List<AttemptAction>,
        now: Instant,
    ): List<AttemptAction> {
        val timer = confirmAccepted(AttemptState.STREAMING)
        return when {
            answer.isComplete -> (deliveries + AttemptAction.Complete).also { state = AttemptState.DONE }
            answer.hasGap -> deliveries + setTimer(minOf(timerAt, now + policy.replyTimeout))
            else -> deliveries + timer
        }
    }

    /** Records that the sidecar has the attempt; stays in [AttemptState.RESOLVING] until a [Resolve] was sent. */
    private fun confirmAccepted(next: AttemptState): List<AttemptAction> {
        isAccepted = true
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
            return answerLost(RefusalReason.OUTCOME_UNKNOWN)
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
            hasResolveTimedOut(now) -> answerLost(RefusalReason.OUTCOME_UNKNOWN)
            else -> reconnectToResolve(now)
        }

    private fun hasResolveTimedOut(now: Instant): Boolean {
        val since = resolvingSince ?: return false
        return request.idempotent && !answer.headForwarded && now - since >= policy.resolveTimeout
    }

    private fun reconnectToResolve(now: Instant): List<AttemptAction> {
        beginResolving(now)
        resolveSent = false
        val current = checkNotNull(target) { "attempt has no target: $attempt" }
        return listOf(AttemptAction.Reconnect(current, sentAt), setTimer(now + policy.replyTimeout))
    }

    private fun beginResolving(now: Instant) {
        state = AttemptState.RESOLVING
        resolvingSince = resolvingSince ?: now
    }

    /** Handles an attempt that may have run and whose answer cannot be obtained. */
    private fun answerLost(reason: RefusalReason): List<AttemptAction> {
        mayHaveRun = true
        return listOfNotNull(cancel()) + if (request.idempotent) retry(reason) else refuse(reason)
    }

    /** Starts the next attempt if one is possible; otherwise refuses the request. */
    private fun retry(reason: RefusalReason): List<AttemptAction> {
        if (answer.headForwarded || attemptNumber >= policy.maximumAttempts || reason !in RETRYABLE_REASONS) {
            return refuse(reason)
        }
        attemptNumber++
        state = AttemptState.PICKING
        target = null
        incarnation = null
        isAccepted = false
        resolvingSince = null
        answer = AnswerRelay(policy.maximumReorderedBytes)
        return listOf(setTimer(request.deadline), pickTarget())
    }

    private fun refuse(reason: RefusalReason): List<AttemptAction> {
        state = AttemptState.REFUSED
        val runState = if (mayHaveRun) RunState.UNKNOWN else RunState.NOT_RUN
        return listOf(if (answer.headForwarded) AttemptAction.Abort(reason) else AttemptAction.Refuse(runState, reason))
    }

    private fun deadlinePassed(): List<AttemptAction> {
        if (state == AttemptState.PICKING) {
            return refuse(RefusalReason.DEADLINE_EXCEEDED)
        }
        mayHaveRun = true
        return listOfNotNull(cancel()) + refuse(RefusalReason.OUTCOME_UNKNOWN)
    }

    private fun callerDisconnected(): List<AttemptAction> {
        state = AttemptState.DONE
        return listOfNotNull(cancel())
    }

    private fun ignoreMessage(): List<AttemptAction> {
        ignoredMessages++
        return emptyList()
    }

    private fun cancel(): AttemptAction? = target?.let { AttemptAction.SendCancel(it, Cancel(attempt)) }

    private fun pickTarget() = AttemptAction.PickTarget(tried = tried.toSet(), attemptNumber = attemptNumber)

    private fun setTimer(at: Instant): AttemptAction {
        timerAt = minOf(at, request.deadline)
        return AttemptAction.SetTimer(timerAt)
    }

    private companion object {
        val RETRYABLE_REASONS =
            setOf(
                RefusalReason.OVERLOADED,
                RefusalReason.NO_TARGET,
                RefusalReason.SHUTTING_DOWN,
                RefusalReason.OUTCOME_UNKNOWN,
                RefusalReason.TARGET_FAILED,
            )
    }
}
