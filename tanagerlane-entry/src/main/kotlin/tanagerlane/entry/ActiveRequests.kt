package tanagerlane.entry

import kotlinx.coroutines.channels.SendChannel
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.attemptOrNull
import tanagerlane.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Requests that wait for events from sidecars. */
internal class ActiveRequests {
    private val mailboxes = ConcurrentHashMap<RequestId, List<SendChannel<AttemptEvent>>>()

    /** Number of requests that are being answered. */
    val size: Int get() = mailboxes.values.sumOf { it.size }

    fun add(
        id: RequestId,
        mailbox: SendChannel<AttemptEvent>,
    ) {
        mailboxes.merge(id, listOf(mailbox)) { present, added -> present + added }
    }

    fun remove(
        id: RequestId,
        mailbox: SendChannel<AttemptEvent>,
    ) {
        mailboxes.computeIfPresent(id) { _, present -> (present - mailbox).ifEmpty { null } }
    }

    /** Gives [event] to the request that it speaks of, or to all when it speaks of a connection. */
    fun deliver(event: AttemptEvent) {
        if (event is AttemptEvent.Received) {
            val id = event.message.attemptOrNull()?.request ?: return
            mailboxes[id]?.forEach { it.trySend(event) }
        } else {
            mailboxes.values.forEach { sharing -> sharing.forEach { it.trySend(event) } }
        }
    }
}
