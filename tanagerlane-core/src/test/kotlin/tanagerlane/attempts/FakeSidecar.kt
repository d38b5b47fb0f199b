package tanagerlane.attempts

import tanagerlane.message.AnswerHead
import tanagerlane.message.Cancel
import tanagerlane.message.Offer
import tanagerlane.message.Resolve
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A sidecar with a real [AttemptTable] and a simulated engine that counts the runs of each request. */
internal class FakeSidecar(
    val target: TargetName,
    private val clock: VirtualClock,
    private val runs: MutableMap<RequestId, Int>,
) {
    var incarnation = Incarnation(1)
        private set
    var isAlive = true
        private set
    var frozenUntil: Instant? = null
        private set
    private var table = AttemptTable(incarnation)
    private val connections = HashMap<SessionId, FakeConnection>()

    fun connect(connection: FakeConnection) {
        connections[connection.session] = connection
    }

    fun kill() {
        isAlive = false
        connections.values.toList().forEach(FakeConnection::reset)
        connections.clear()
    }

    fun restart() {
        isAlive = true
        incarnation = Incarnation(incarnation.number + 1)
        table = AttemptTable(incarnation)
    }

    fun freeze(lasting: Duration) {
        frozenUntil = clock.now + lasting
        connections.values.forEach(FakeConnection::detectSilence)
    }

    fun receive(
        connection: FakeConnection,
        message: WireMessage,
    ) = whenNotFrozen(connection.incarnation) {
        when (message) {
            is Offer -> offered(message, connection)
            is Resolve -> connection.toEntry(table.resolve(message, sourceOf(connection), clock.now))
            is Cancel -> table.cancel(message, clock.now)
            else -> error("unexpected message: $message")
        }
    }

    private fun offered(
        offer: Offer,
        connection: FakeConnection,
    ) {
        val decision = table.offer(offer, sourceOf(connection), clock.now)
        connection.toEntry(decision.replies)
        if (decision is OfferDecision.Run) {
            later(QUEUE_TIME) { start(offer.attempt) }
        }
    }

    private fun sourceOf(connection: FakeConnection) =
        OfferSource(HostName("entry"), connection.session, connection.openedAt)

    private fun start(attempt: AttemptId) {
        if (table.start(attempt, clock.now) !is StartDecision.Call) {
            return
        }
        val run = runs.merge(attempt.request, 1, Int::plus)!!
        later(STEP) { send(table.head(AnswerHead(attempt, STATUS, emptyList()), clock.now)) }
        pieces(attempt.request, run).forEachIndexed { position, piece ->
            later(STEP * (position + 2)) { send(table.append(attempt, Payload.of(piece), clock.now)) }
        }
        later(STEP * (PIECES + 2)) { send(table.end(attempt, clock.now)) }
    }

    private fun send(delivery: Delivery?) {
        delivery?.sessions?.forEach { connections[it]?.toEntry(delivery.messages) }
    }

    private fun later(
        wait: Duration,
        action: () -> Unit,
    ) {
        val scheduledBy = incarnation
        clock.after(wait) { whenNotFrozen(scheduledBy, action) }
    }

    /** Runs [action] in the process of incarnation [by] once it is not frozen, or never if that process is dead. */
    private fun whenNotFrozen(
        by: Incarnation,
        action: () -> Unit,
    ) {
        val frozen = frozenUntil
        when {
            !isAlive || by != incarnation -> Unit
            frozen != null && clock.now < frozen -> clock.at(frozen) { whenNotFrozen(by, action) }
            else -> action()
        }
    }

    companion object {
        const val STATUS = 200
        private const val PIECES = 4
        private val QUEUE_TIME = 5.milliseconds
        private val STEP = 10.milliseconds

        /** Fragments of the answer to the [run]th run of [request]; each run produces a different answer. */
        fun pieces(
            request: RequestId,
            run: Int,
        ): List<String> = List(PIECES) { "$request/$run/$it;" }
    }
}
