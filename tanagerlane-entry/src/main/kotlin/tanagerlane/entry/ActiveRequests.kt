package tanagerlane.entry

import kotlinx.coroutines.channels.SendChannel
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.attemptOrNull
import tanagerlane.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Running requests, each with the channels that receive its events. */
internal class ActiveRequests {
    private val channels = ConcurrentHashMap<RequestId, List<SendChannel<AttemptEvent>>>()

    /** Number of requests in progress. */
    val size: Int get() = channels.values.sumOf { it.size }

    /** Starts to deliver the events of request [id] to [channel]. */
    fun add(
        id: RequestId,
        channel: SendChannel<AttemptEvent>,
    ) {
        channels.merge(id, listOf(channel)) { existing, added -> existing + added }
    }

    /** Stops delivering the events of request [id] to [channel]. */
    fun remove(
        id: RequestId,
        channel: SendChannel<AttemptEvent>,
    ) {
        channels.computeIfPresent(id) { _, existing -> (existing - channel).ifEmpty { null } }
    }

    /** Delivers a received message to its request; any other event concerns a connection and goes to all requests. */
    fun deliver(event: AttemptEvent) {
        if (event is AttemptEvent.Received) {
            val id = event.message.attemptOrNull()?.request ?: return
            channels[id]?.forEach { it.trySend(event) }
        } else {
            channels.values.forEach { receivers -> receivers.forEach { it.trySend(event) } }
        }
    }
}
