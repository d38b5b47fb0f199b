package tanagerlane.sidecar

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.attempts.AttemptTable
import tanagerlane.attempts.CancelDecision
import tanagerlane.attempts.Delivery
import tanagerlane.attempts.OfferDecision
import tanagerlane.attempts.OfferSource
import tanagerlane.attempts.SessionId
import tanagerlane.attempts.StartDecision
import tanagerlane.limits.ArrivalGuard
import tanagerlane.message.AnswerHead
import tanagerlane.message.Cancel
import tanagerlane.message.Offer
import tanagerlane.message.Resolve
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.HostName
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.wire.WireConnection
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Serves the attempts that entries offer.
 *
 * @param run calls the target for one attempt and reports to the sink; its cancellation stops the call
 * @param greeting returns the first message on each connection
 * @param handleOtherMessage handles messages that are not about attempts
 */
internal class AttemptServer(
    private val table: AttemptTable,
    private val guard: ArrivalGuard,
    private val scope: CoroutineScope,
    private val run: suspend (Offer, AnswerSink) -> Unit,
    private val greeting: () -> WireMessage,
    private val handleOtherMessage: suspend (HostName, WireMessage) -> Unit,
    private val now: () -> Instant,
) {
    private val connections = ConcurrentHashMap<SessionId, WireConnection>()
    private val runs = ConcurrentHashMap<AttemptId, Job>()

    /** Number of attempts that are waiting or running. */
    val running: Int get() = runs.size

    /** Serves [connection] until it ends. */
    suspend fun serve(connection: WireConnection) {
        connections[connection.session] = connection
        connection.send(greeting())
        try {
            for (message in connection.incoming) {
                receive(connection, message)
            }
        } finally {
            connections.remove(connection.session)
            table.detach(connection.session, now())
        }
    }

    /** Sends [message] on every open connection whose send queue has room. */
    fun broadcast(message: WireMessage) {
        connections.values.forEach { it.trySend(message) }
    }

    /** Removes expired attempts and cancels those without a connection for too long; returns only by cancellation. */
    suspend fun expireLoop() {
        while (true) {
            delay(EXPIRY_INTERVAL)
            table.expire(now()).forEach { cancel(Cancel(it)) }
        }
    }

    private suspend fun receive(
        connection: WireConnection,
        message: WireMessage,
    ) {
        when (message) {
            is Offer -> offer(connection, message)
            is Resolve -> table.resolve(message, sourceOf(connection), now()).forEach { connection.send(it) }
            is Cancel -> cancel(message)
            else -> handleOtherMessage(connection.peer.host, message)
        }
    }

    private suspend fun offer(
        connection: WireConnection,
        offer: Offer,
    ) {
        if (!isTimely(offer)) {
            val resolve = Resolve(offer.attempt, received = 0)
            table.resolve(resolve, sourceOf(connection), now()).forEach { connection.send(it) }
            return
        }
        val decision = table.offer(offer, sourceOf(connection), now())
        decision.replies.forEach { connection.send(it) }
        if (decision is OfferDecision.Run) {
            start(offer)
        }
    }

    private fun sourceOf(connection: WireConnection) =
        OfferSource(
            host = connection.peer.host,
            session = connection.session,
            answeredProbeSentAt = connection.freshAt,
        )

    /**
     * Whether the request arrived while its admission is valid.
     *
     * A late request is never run: it is handled like a [Resolve], which bars an unknown attempt from running later.
     */
    private fun isTimely(offer: Offer): Boolean {
        val admission = offer.admission ?: return true
        return guard.isTimely(admission, now())
    }

    private fun start(offer: Offer) {
        val job =
            scope.launch {
                try {
                    run(offer, sinkOf(offer.attempt))
                } finally {
                    ensureEnded(offer.attempt)
                }
            }
        runs[offer.attempt] = job
        if (job.isCompleted) {
            runs.remove(offer.attempt)
        }
    }

    /** Ends an attempt whose run did not report its end; does nothing for other attempts. */
    private suspend fun ensureEnded(attempt: AttemptId) {
        withContext(NonCancellable) {
            deliver(table.fail(attempt, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN, now()))
        }
        runs.remove(attempt)
    }

    private fun cancel(cancel: Cancel) {
        if (table.cancel(cancel, now()) != CancelDecision.NOTHING) {
            runs.remove(cancel.attempt)?.cancel(CancellationException("cancelled by the caller"))
        }
    }

    private fun sinkOf(attempt: AttemptId): AnswerSink =
        AnswerSink(
            begin = { begin(attempt) },
            head = { status, headers -> deliver(table.head(AnswerHead(attempt, status, headers), now())) },
            bytes = { deliver(table.append(attempt, it, now())) },
            end = { deliver(table.end(attempt, now())) },
            fail = { runState, reason -> deliver(table.fail(attempt, runState, reason, now())) },
        )

    private suspend fun begin(attempt: AttemptId): Boolean =
        when (val decision = table.start(attempt, now())) {
            is StartDecision.Call -> {
                true
            }

            is StartDecision.Skip -> {
                deliver(decision.delivery)
                false
            }
        }

    private suspend fun deliver(delivery: Delivery?) {
        delivery?.sessions?.mapNotNull { connections[it] }?.forEach { connection ->
            delivery.messages.forEach { connection.send(it) }
        }
    }

    private companion object {
        val EXPIRY_INTERVAL = 1.seconds
    }
}
