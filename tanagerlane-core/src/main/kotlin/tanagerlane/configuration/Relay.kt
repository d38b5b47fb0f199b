package tanagerlane.configuration

import tanagerlane.message.ConfigurationAnnounce
import tanagerlane.message.ConfigurationAsk
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.time.Instant

/** Decides what is announced to neighbours and which of them is asked. */
internal class Relay(
    private val terms: ConfigurationTerms,
    firstNonce: Long,
) {
    private val neighbours = mutableMapOf<HostName, Neighbour>()
    private var nextNonce = firstNonce
    private var openAsk: OpenAsk? = null

    fun replaceNeighbours(hosts: Set<HostName>) {
        neighbours.keys.retainAll(hosts)
        hosts.forEach { neighbours.getOrPut(it) { Neighbour() } }
    }

    /** Takes in an announcement; returns what it proves where it answers the open question, else null. */
    fun announced(
        from: HostName,
        message: ConfigurationAnnounce,
        now: Instant,
    ): Proof? {
        val neighbour = neighbourOf(from) ?: return null
        val claim = Knowledge.of(message, now)
        neighbour.claims(claim)
        val ask = openAsk?.takeIf { it.host == from && it.nonce == message.nonce }
        if (ask == null) {
            neighbour.unverified = claim
            return null
        }
        openAsk = null
        neighbour.unverified = null
        return Proof(Knowledge.of(message, ask.sentAt), ask.sentAt)
    }

    /** A process that doesn't know the members, as after a start in an outage, takes those who call it for neighbours. */
    private fun neighbourOf(host: HostName): Neighbour? =
        neighbours[host] ?: Neighbour().takeIf { neighbours.size < MAXIMUM_NEIGHBOURS }?.also { neighbours[host] = it }

    /** Returns the announcements and the question that are due. */
    fun sends(
        own: Knowledge,
        now: Instant,
    ): List<ConfigurationSend> = announcements(own, now) + listOfNotNull(ask(own, now))

    private fun announcements(
        own: Knowledge,
        now: Instant,
    ): List<ConfigurationSend> {
        val sends = mutableListOf<ConfigurationSend>()
        for ((host, neighbour) in neighbours) {
            val announced = neighbour.due(own, now) ?: continue
            neighbour.sent = announced.merged(neighbour.sent)
            neighbour.sentAt = now
            sends += ConfigurationSend(host, announced.announce(nonce = 0, now))
        }
        return sends
    }

    /** Returns what is to be announced, everything when it is time for a heartbeat and else only news, or null. */
    private fun Neighbour.due(
        own: Knowledge,
        now: Instant,
    ): Knowledge? {
        val last = sentAt
        if (last == null || now - last >= terms.heartbeat) {
            return own
        }
        val known = claimed.merged(sent.copy(revision = claimed.revision))
        val isNews =
            own.revision.number > maxOf(sent.revision.number, claimed.revision.number) ||
                own.copy(revision = Knowledge.NO_REVISION).exceeds(known, terms.evidenceStep, terms.denialStep)
        return if (isNews) own.newsFor(known, terms.evidenceStep, terms.denialStep) else null
    }

    private fun ask(
        own: Knowledge,
        now: Instant,
    ): ConfigurationSend? {
        closeLateAsk(now)
        val (host, neighbour) =
            neighbours.entries.filter { it.value.isUseful(own) }.maxWithOrNull(BY_CLAIM)
                ?: return null
        val claimed = neighbour.claimed.revision
        val open = openAsk
        if (open != null && open.claimed.number >= claimed.number) {
            return null
        }
        val ask = OpenAsk(host, nextNonce++, now, claimed)
        openAsk = ask
        return ConfigurationSend(host, ConfigurationAsk(nonce = ask.nonce, held = own.revision))
    }

    private fun closeLateAsk(now: Instant) {
        val open = openAsk ?: return
        if (now - open.sentAt >= terms.askTimeout) {
            neighbours[open.host]?.unverified = null
            openAsk = null
        }
    }

    private fun Neighbour.isUseful(own: Knowledge): Boolean =
        unverified?.exceeds(own, terms.askStep, terms.askStep) ?: false

    /** What a neighbour knew at some time after it was asked at [askedAt]. */
    data class Proof(
        val knowledge: Knowledge,
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
        var sent: Knowledge = Knowledge(),
        var sentAt: Instant? = null,
        var claimed: Knowledge = Knowledge(),
        var unverified: Knowledge? = null,
    ) {
        /** Takes in a claim; one by a lower revision than was announced comes from a process that started anew. */
        fun claims(claim: Knowledge) {
            val startedAnew = claim.revision.number < sent.revision.number
            claimed = if (startedAnew) claim else claim.merged(claimed)
            if (startedAnew) {
                sent = Knowledge()
            }
        }
    }

    /** A question that has not been answered. */
    private data class OpenAsk(
        val host: HostName,
        val nonce: Long,
        val sentAt: Instant,
        val claimed: Revision,
    )

    private companion object {
        const val MAXIMUM_NEIGHBOURS = 24
        val BY_CLAIM: Comparator<Map.Entry<HostName, Neighbour>> =
            compareBy({ it.value.claimed.revision.number }, { it.value.claimed.evidence })
    }
}
