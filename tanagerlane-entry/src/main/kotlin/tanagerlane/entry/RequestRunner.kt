package tanagerlane.entry

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.attempts.AttemptAction
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.AttemptPolicy
import tanagerlane.attempts.AttemptState
import tanagerlane.attempts.AttemptTracker
import tanagerlane.attempts.TrackedRequest
import tanagerlane.message.Offer
import tanagerlane.model.RequestClass
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** Sends requests to targets and streams the answers back to callers. */
internal class RequestRunner(
    private val links: SidecarLinks,
    private val active: ActiveRequests,
    private val picker: TargetPicker,
    private val charger: RateCharger,
    private val policy: AttemptPolicy,
    private val now: () -> Instant,
) {
    /** Runs [request] until it is answered or refused; [events] also reports when the caller disconnects. */
    suspend fun run(
        request: OnlineRequest,
        events: Channel<AttemptEvent>,
        sink: CallerSink,
    ) {
        active.add(request.id, events)
        try {
            RequestRun(request, events, sink).execute()
        } finally {
            active.remove(request.id, events)
        }
    }

    private inner class RequestRun(
        private var request: OnlineRequest,
        private val events: Channel<AttemptEvent>,
        private val sink: CallerSink,
    ) {
        private var isSettled = false
        private var target: TargetName? = null

        private val tracker = AttemptTracker(TrackedRequest(request.id, request.idempotent, request.deadline), policy)
        private var timerAt = request.deadline

        suspend fun execute() {
            try {
                tracker.begin().forEach { perform(it) }
                while (tracker.state != AttemptState.DONE && tracker.state != AttemptState.REFUSED) {
                    val event = withTimeoutOrNull(timerAt - now()) { events.receive() } ?: AttemptEvent.TimerFired
                    handle(event)
                }
            } finally {
                settle()
                releaseTarget()
            }
        }

        private suspend fun handle(event: AttemptEvent) {
            if (event is AttemptEvent.Received) {
                settle()
            }
            tracker.handle(event, now()).forEach { perform(it) }
        }

        private fun settle() {
            if (!isSettled) {
                isSettled = true
                charger.settle(request.charge)
            }
        }

        /** Picks the next target; a request whose permit has expired is charged again first. */
        private suspend fun nextTarget(action: AttemptAction.PickTarget): AttemptEvent {
            releaseTarget()
            if (now() < request.charge.permit.validUntil) {
                return pick(action)
            }
            settle()
            return charger.charge(request.charge.key).mapBoth(
                success = { charge ->
                    request = request.copy(charge = charge)
                    isSettled = false
                    pick(action)
                },
                failure = { AttemptEvent.NoTarget(it.reason) },
            )
        }

        private fun pick(action: AttemptAction.PickTarget): AttemptEvent {
            val event = picker.pick(request, action)
            target = (event as? AttemptEvent.TargetPicked)?.target
            return event
        }

        private fun releaseTarget() {
            target?.let { picker.finished(it) }
            target = null
        }

        private suspend fun perform(action: AttemptAction) {
            when (action) {
                is AttemptAction.PickTarget -> events.send(nextTarget(action))
                is AttemptAction.SendOffer -> sendOffer(action)
                is AttemptAction.SendResolve -> links.of(action.target)?.send(action.resolve)
                is AttemptAction.SendCancel -> links.of(action.target)?.send(action.cancel)
                is AttemptAction.Reconnect -> reconnect(action.target, action.since)
                is AttemptAction.DeliverHead -> sink.head(action.status, action.headers)
                is AttemptAction.DeliverBytes -> sink.bytes(action.bytes)
                is AttemptAction.Complete -> sink.complete()
                is AttemptAction.Refuse -> sink.refuse(refusalOf(action))
                is AttemptAction.Abort -> sink.abort(action.reason)
                is AttemptAction.SetTimer -> timerAt = action.at
            }
        }

        private suspend fun sendOffer(action: AttemptAction.SendOffer) {
            val sent = links.of(action.target)?.send(offerOf(action), action.expectedIncarnation) ?: false
            if (!sent) {
                events.send(AttemptEvent.NotSent(action.attempt))
            }
        }

        private suspend fun reconnect(
            target: TargetName,
            since: Instant,
        ) {
            links.of(target)?.reconnect(since)?.let { events.send(it) }
        }

        private fun offerOf(action: AttemptAction.SendOffer): Offer =
            Offer(
                attempt = action.attempt,
                workspace = request.workspace,
                requestClass = RequestClass.ONLINE,
                idempotent = request.idempotent,
                remaining = action.remaining,
                work = request.work,
                expectedIncarnation = action.expectedIncarnation,
                traceParent = request.traceParent,
                repeat = request.repeat,
                admission = request.charge.nonces[action.target],
            )

        private fun refusalOf(action: AttemptAction.Refuse): CallerRefusal =
            CallerRefusal(action.reason, action.runState, explanation = action.reason.explanation)
    }
}
