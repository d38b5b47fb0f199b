package tanagerlane.configuration

import tanagerlane.message.ConfigurationAnnounce
import tanagerlane.message.ConfigurationAsk
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.time.Instant

/** Decides what to announce to neighbours and which of them to query. */
internal class Relay(
    private val parameters: RelayParameters,
    firstNonce: Long,
) {
    private val neighbours = mutableMapOf<HostName, Neighbour>()
    private var nextNonce = firstNonce
    private var pendingQuery: PendingQuery? = null

    fun replaceNeighbours(hosts: Set<HostName>) {
        neighbours.keys.retainAll(hosts)
        hosts.forEach { neighbours.getOrPut(it) { Neighbour() } }
    }

    /** Handles an announcement; returns the state it confirms if it answers the pending query, or null otherwise. */
    fun onAnnouncement(
        from: HostName,
        message: ConfigurationAnnounce,
        now: Instant,
    ): Answer? {
        val neighbour = neighbourOf(from) ?: return null
        val claim = FreshnessState.of(message, now)
        neighbour.recordClaim(claim)
        val query = pendingQuery?.takeIf { it.host == from && it.nonce == message.nonce }
        if (query == null) {
            neighbour.unverified = claim
            return null
        }
        pendingQuery = null
        neighbour.unverified = null
        return Answer(FreshnessState.of(message, query.sentAt), query.sentAt)
    }

    /** Adds unknown callers as neighbours, since a process that starts in an outage does not know the members. */
    private fun neighbourOf(host: HostName): Neighbour? =
        neighbours[host] ?: Neighbour().takeIf { neighbours.size < MAXIMUM_NEIGHBOURS }?.also { neighbours[host] = it }

    /** Returns the announcements and the query that are due. */
    fun messagesDue(
        own: FreshnessState,
        now: Instant,
    ): List<OutgoingMessage> = announcements(own, now) + listOfNotNull(query(own, now))

    private fun announcements(
        own: FreshnessState,
        now: Instant,
    ): List<OutgoingMessage> {
        val messages = mutableListOf<OutgoingMessage>()
        for ((host, neighbour) in neighbours) {
            val announced = neighbour.due(own, now) ?: continue
            neighbour.sent = announced.merged(neighbour.sent)
            neighbour.sentAt = now
            messages += OutgoingMessage(host, announced.toAnnouncement(nonce = 0, now))
        }
        return messages
    }

    /** Returns what to announce: everything if a heartbeat is due, else what is newer, or null if nothing is. */
    private fun Neighbour.due(
        own: FreshnessState,
        now: Instant,
    ): FreshnessState? {
        val last = sentAt
        if (last == null || now - last >= parameters.heartbeat) {
            return own
        }
        val known = claimed.merged(sent.copy(revision = claimed.revision))
        val isDue =
            own.revision.number > maxOf(sent.revision.number, claimed.revision.number) ||
                own
                    .copy(revision = FreshnessState.NO_REVISION)
                    .isNewerThan(known, parameters.evidenceThreshold, parameters.failureThreshold)
        return if (isDue) own.updatesFor(known, parameters.evidenceThreshold, parameters.failureThreshold) else null
    }

    private fun query(
        own: FreshnessState,
        now: Instant,
    ): OutgoingMessage? {
        expireQuery(now)
        val (host, neighbour) =
            neighbours.entries.filter { it.value.isWorthQuerying(own) }.maxWithOrNull(BY_CLAIMED_STATE)
                ?: return null
        val claimed = neighbour.claimed.revision
        val open = pendingQuery
        if (open != null && open.claimed.number >= claimed.number) {
            return null
        }
        val query = PendingQuery(host, nextNonce++, now, claimed)
        pendingQuery = query
        return OutgoingMessage(host, ConfigurationAsk(nonce = query.nonce, held = own.revision))
    }

    private fun expireQuery(now: Instant) {
        val open = pendingQuery ?: return
        if (now - open.sentAt >= parameters.askTimeout) {
            neighbours[open.host]?.unverified = null
            pendingQuery = null
        }
    }

    private fun Neighbour.isWorthQuerying(own: FreshnessState): Boolean =
        unverified?.isNewerThan(own, parameters.askThreshold, parameters.askThreshold) ?: false

    /** State of a neighbour at some time after the query was sent at [askedAt]. */
    data class Answer(
        val state: FreshnessState,
        val askedAt: Instant,
    )

    /**
     * Messages exchanged with one neighbour.
     *
     * @property sent state that was last announced to the neighbour
     * @property claimed state that the neighbour last announced; without a nonce, ages in it may be too low
     * @property unverified claim that no query has confirmed yet
     */
    private class Neighbour(
        var sent: FreshnessState = FreshnessState(),
        var sentAt: Instant? = null,
        var claimed: FreshnessState = FreshnessState(),
        var unverified: FreshnessState? = null,
    ) {
        /** Records a claim; a revision lower than the one announced to the neighbour means that it has restarted. */
        fun recordClaim(claim: FreshnessState) {
            val hasRestarted = claim.revision.number < sent.revision.number
            claimed = if (hasRestarted) claim else claim.merged(claimed)
            if (hasRestarted) {
                sent = FreshnessState()
            }
        }
    }

    /** A query that has not been answered yet. */
    private data class PendingQuery(
        val host: HostName,
        val nonce: Long,
        val sentAt: Instant,
        val claimed: Revision,
    )

    private companion object {
        const val MAXIMUM_NEIGHBOURS = 24
        val BY_CLAIMED_STATE: Comparator<Map.Entry<HostName, Neighbour>> =
            compareBy({ it.value.claimed.revision.number }, { it.value.claimed.evidence })
    }
}
