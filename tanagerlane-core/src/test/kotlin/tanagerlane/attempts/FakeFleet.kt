package tanagerlane.attempts

import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.message.WireMessage
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates one entry with real [AttemptTracker]s in front of two sidecars in virtual time. */
internal class FakeFleet(
    private val faults: Faults,
    private val idempotent: Boolean,
) {
    val clock = VirtualClock()
    val runs = HashMap<RequestId, Int>()
    val callers = List(REQUESTS) { FakeCaller(RequestId("request-$it")) }
    val deadline = VirtualClock.START + 8.seconds
    private val sidecars = List(TARGETS) { FakeSidecar(TargetName("target-$it"), clock, runs) }
    private val connections = HashMap<TargetName, FakeConnection>()
    private val connecting = HashSet<TargetName>()
    private val occurrences = HashMap<String, Int>()
    private val trackers = callers.associate { it.request to tracker(it.request) }
    private var sessions = 0L
    var isEntryAlive = true
        private set

    /** Runs the simulation until 20 seconds after the deadline. */
    fun run() {
        sidecars.forEach(::open)
        faults.sidecars.forEach { fault -> clock.after(fault.at) { inject(fault) } }
        faults.entryKilledAt?.let { clock.after(it) { isEntryAlive = false } }
        callers.forEachIndexed { position, caller ->
            clock.after(ARRIVAL_INTERVAL * (position + 1)) { act(caller, trackers.getValue(caller.request).begin()) }
        }
        clock.run(deadline + 20.seconds)
    }

    private fun tracker(request: RequestId) =
        AttemptTracker(
            request = TrackedRequest(request, idempotent, deadline),
            policy = AttemptPolicy(maximumAttempts = faults.maximumAttempts),
        )

    private fun inject(fault: FaultySidecar) {
        val sidecar = sidecars[fault.target]
        when (fault.fault) {
            SidecarFault.FROZEN -> sidecar.freeze(fault.lasting)
            SidecarFault.KILLED -> sidecar.kill()
            SidecarFault.REPLACED -> sidecar.kill().also { clock.after(fault.lasting) { sidecar.restart() } }
        }
    }

    private fun dispatch(
        caller: FakeCaller,
        event: AttemptEvent,
    ) {
        if (isEntryAlive) {
            act(caller, trackers.getValue(caller.request).handle(event, clock.now))
        }
    }

    private fun act(
        caller: FakeCaller,
        actions: List<AttemptAction>,
    ) = actions.forEach { act(caller, it) }

    private fun act(
        caller: FakeCaller,
        action: AttemptAction,
    ) {
        when (action) {
            is AttemptAction.PickTarget -> dispatch(caller, pick(action))
            is AttemptAction.SendOffer -> sendOffer(caller, action)
            is AttemptAction.SendResolve -> connections[action.target]?.toSidecar(action.resolve)
            is AttemptAction.SendCancel -> connections[action.target]?.toSidecar(action.cancel)
            is AttemptAction.Reconnect -> reconnect(caller, action)
            is AttemptAction.SetTimer -> clock.at(action.at) { dispatch(caller, AttemptEvent.TimerFired) }
            else -> caller.record(action, clock.now)
        }
    }

    private fun pick(action: AttemptAction.PickTarget): AttemptEvent {
        val usable = connections.values.filter { it.isUsable }.sortedBy { it.sidecar.target.text }
        val picked = usable.firstOrNull { it.sidecar.target !in action.tried } ?: usable.firstOrNull()
        return picked?.let { AttemptEvent.TargetPicked(it.sidecar.target, it.incarnation) }
            ?: AttemptEvent.NoTarget(RefusalReason.NO_TARGET)
    }

    private fun sendOffer(
        caller: FakeCaller,
        action: AttemptAction.SendOffer,
    ) {
        val connection = connections[action.target]
        if (connection == null || connection.incarnation != action.expectedIncarnation) {
            dispatch(caller, AttemptEvent.NotSent(action.attempt))
            return
        }
        connection.toSidecar(offer(action))
    }

    private fun offer(action: AttemptAction.SendOffer) =
        Offer(
            attempt = action.attempt,
            workspace = WorkspaceName("press"),
            requestClass = RequestClass.ONLINE,
            idempotent = idempotent,
            remaining = action.remaining,
            work = ChatWork(ModelName("model"), Payload.of("{}"), streamed = true, maximumTokens = 8),
            expectedIncarnation = action.expectedIncarnation,
        )

    private fun reconnect(
        caller: FakeCaller,
        action: AttemptAction.Reconnect,
    ) {
        val current = connections[action.target]
        if (current != null && current.isUsable && current.openedAt > action.since) {
            dispatch(caller, AttemptEvent.ConnectionOpened(action.target, current.incarnation))
        } else if (connecting.add(action.target)) {
            connectLater(sidecars.first { it.target == action.target })
        }
    }

    private fun connectLater(sidecar: FakeSidecar): Unit =
        clock.after(CONNECT_TIME) {
            val frozen = sidecar.frozenUntil
            if (sidecar.isAlive && (frozen == null || clock.now >= frozen)) {
                connecting -= sidecar.target
                val opened = open(sidecar)
                callers.forEach { dispatch(it, AttemptEvent.ConnectionOpened(sidecar.target, opened.incarnation)) }
            } else {
                connectLater(sidecar)
            }
        }

    private fun open(sidecar: FakeSidecar): FakeConnection {
        val connection =
            FakeConnection(SessionId(sessions++), sidecar, clock, ::faultOf, ::received) { lost ->
                callers.forEach { dispatch(it, AttemptEvent.ConnectionLost(lost.sidecar.target)) }
            }
        connections[sidecar.target] = connection
        sidecar.connect(connection)
        return connection
    }

    private fun received(message: WireMessage) {
        val request = message.attemptOrNull()?.request
        callers.filter { it.request == request }.forEach { dispatch(it, AttemptEvent.Received(message)) }
    }

    private fun faultOf(message: WireMessage): MessageFault? {
        val type = message::class.simpleName.orEmpty()
        val occurrence = occurrences.merge(type, 1, Int::plus)
        return faults.messages.firstOrNull { it.type == type && it.occurrence == occurrence }?.fault
    }

    private companion object {
        const val REQUESTS = 2
        const val TARGETS = 2
        val ARRIVAL_INTERVAL = 3.milliseconds
        val CONNECT_TIME = 20.milliseconds
    }
}
