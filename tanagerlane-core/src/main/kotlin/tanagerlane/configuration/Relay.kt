package tanagerlane.configuration

import tanagerlane.message.ConfigurationAnnounce
import tanagerlane.message.ConfigurationAsk
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.time.Instant

/** Decides what is announced to neighbours and which of them is asked. */
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

    /** Takes in an announcement; returns what it proves where it answers the open question, else null. */
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

    /** A process that doesn't know the members, as after a start in an outage, takes those who call it for neighbours. */
    private fun neighbourOf(host: HostName): Neighbour? =
        neighbours[host] ?: Neighbour().takeIf { neighbours.size < MAXIMUM_NEIGHBOURS }?.also { neighbours[host] = it }

    /** Returns the announcements and the question that are due. */
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

    /** Returns what is to be announced, everything when it is time for a heartbeat else only what is newer, or null. */
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

    /** What a neighbour knew at some time after it was asked at [askedAt]. */
    data class Answer(
        val state: FreshnessState,
        val askedAt: Instant,
    )

    /**
     * What passed between this process and one neighbour.
     *
     * @property sent what was last announced to it
     * @property claimed what it last announced; without a nonce its age may be understated
     * @property unverified a claim that has not been followed up
     */
    private class Neighbour(
        var sent: FreshnessState = FreshnessState(),
        var sentAt: Instant? = null,
        var claimed: FreshnessState = FreshnessState(),
        var unverified: FreshnessState? = null,
    ) {
        /** Takes in a claim; one by a lower revision than was announced comes from a process that started anew. */
        fun recordClaim(claim: FreshnessState) {
            val hasRestarted = claim.revision.number < sent.revision.number
            claimed = if (hasRestarted) claim else claim.merged(claimed)
            if (hasRestarted) {
                sent = FreshnessState()
            }
        }
    }

    /** A question that has not been answered. */
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
