package tanagerlane.configuration

import com.github.michaelbull.result.mapBoth
import tanagerlane.inventory.Configuration
import tanagerlane.message.ConfigurationAnnounce
import tanagerlane.message.ConfigurationAsk
import tanagerlane.message.ConfigurationChanges
import tanagerlane.message.ConfigurationDocument
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.time.Instant

/**
 * The configuration that one process holds, and what it knows about how current that is.
 *
 * Only higher revisions are taken, from the store or from neighbours. Ages from neighbours count from when the question
 * was sent that they answer, so no delay of a message makes evidence look younger than it is.
 *
 * @param failureDomain failure domain of the process
 * @param firstNonce a random number other than 0
 */
public class ConfigurationState(
    private val failureDomain: FailureDomain,
    firstNonce: Long,
    private val terms: ConfigurationTerms = ConfigurationTerms(),
) {
    private val lock = Any()
    private val history = ChangeHistory(terms.keptChanges)
    private val relay = Relay(terms, firstNonce)
    private var own = Knowledge()
    private var highestHeardOf = Knowledge.NO_REVISION
    private var peerAnsweredAt: Instant? = null

    /** The configuration in force, or null before the first. */
    @Volatile
    public var current: AcceptedConfiguration? = null
        private set

    /** Sets the hosts that announcements are exchanged with. */
    public fun replaceNeighbours(
        hosts: Set<HostName>,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            relay.replaceNeighbours(hosts)
            null
        }

    /** The store answered a call that was sent at [sentAt] with [configuration]. */
    public fun storeFound(
        configuration: Configuration,
        sentAt: Instant,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            accept(configuration)
            confirmed(configuration.revision, sentAt)
            null
        }

    /** The store answered a call that was sent at [sentAt] that the document still has [revision]. */
    public fun storeUnchanged(
        revision: Revision,
        sentAt: Instant,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            confirmed(revision, sentAt)
            null
        }

    /** A call to the store failed, or has been unanswered for too long. */
    public fun storeUnreachable(now: Instant): ConfigurationStep =
        step(now) {
            own = own.merged(Knowledge(denials = mapOf(failureDomain to now)))
            null
        }

    /** Takes in a message of a neighbour; messages of other kinds change nothing. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): ConfigurationStep =
        when (message) {
            is ConfigurationAsk -> answer(from, message, now)
            is ConfigurationAnnounce -> step(now) { announced(from, message, now) }
            is ConfigurationDocument -> step(now) { received(message) }
            is ConfigurationChanges -> step(now) { changed(message) }
            else -> ConfigurationStep(sends = emptyList())
        }

    /** To be called several times a second: returns what is due by time alone. */
    public fun tick(now: Instant): ConfigurationStep = step(now) { null }

    /** Decides whether requests may be served at [now]. */
    public fun freshness(now: Instant): Freshness =
        synchronized(lock) {
            val evidence = own.evidence
            val configuration = current?.configuration
            when {
                configuration == null -> Freshness.Unconfigured
                evidence != null && now - evidence <= terms.evidenceBound -> Freshness.Fresh(now - evidence)
                isStoreDownForAll(configuration, now) -> Freshness.StoreDownForAll
                else -> Freshness.CutOffAlone
            }
        }

    /** Whether a process that is no watcher has to try the store itself, because its failure domain is silent. */
    public fun needsStore(now: Instant): Boolean =
        synchronized(lock) {
            isOlder(own.evidence, now) && isOlder(own.denials[failureDomain], now)
        }

    private fun isOlder(
        time: Instant?,
        now: Instant,
    ): Boolean = time == null || now - time > terms.probeAge

    private fun isStoreDownForAll(
        configuration: Configuration,
        now: Instant,
    ): Boolean {
        val domains = configuration.inventory.sites.flatMap { it.failureDomains }
        val denying = domains.count { domain -> isRecent(own.denials[domain], now) }
        val holdsHighest = highestHeardOf.number <= own.revision.number
        return holdsHighest && denying * 2 > domains.size && isRecent(peerAnsweredAt, now)
    }

    private fun isRecent(
        time: Instant?,
        now: Instant,
    ): Boolean = time != null && now - time <= terms.evidenceBound

    private fun announced(
        from: HostName,
        message: ConfigurationAnnounce,
        now: Instant,
    ): ConfigurationFault? {
        heardOf(message.revision)
        val proof = relay.announced(from, message, now) ?: return null
        own = own.merged(proof.knowledge)
        peerAnsweredAt = proof.askedAt
        return null
    }

    private fun answer(
        from: HostName,
        message: ConfigurationAsk,
        now: Instant,
    ): ConfigurationStep =
        synchronized(lock) {
            heardOf(message.held)
            val content = if (own.revision.number > message.held.number) contentSince(message.held) else null
            val messages = listOfNotNull(content, own.announce(message.nonce, now))
            ConfigurationStep(sends = messages.map { ConfigurationSend(from, it) } + relay.sends(own, now))
        }

    private fun contentSince(revision: Revision): WireMessage? =
        history.since(revision)?.let { ConfigurationChanges(it) } ?: current?.let { ConfigurationDocument(it.content) }

    private fun changed(message: ConfigurationChanges): ConfigurationFault? {
        val held = current?.configuration
        val news = message.changes.dropWhile { it.revision.number <= own.revision.number }
        val bases = listOf(held?.revision) + news.map { it.revision }
        if (news.map { it.base } != bases.dropLast(1)) {
            return ConfigurationFault.NoBase(own.revision)
        }
        if (held != null) {
            accept(news.fold(held) { configuration, change -> configuration.changedBy(change) })
        }
        return null
    }

    private fun received(message: ConfigurationDocument): ConfigurationFault? =
        ConfigurationCodec.decode(message.content).mapBoth(
            success = {
                accept(it)
                null
            },
            failure = { it },
        )

    private fun accept(configuration: Configuration) {
        val held = current?.configuration
        if (configuration.revision.number <= own.revision.number) {
            return
        }
        if (held != null) {
            history.record(held, configuration)
        }
        own = own.copy(revision = configuration.revision)
        heardOf(configuration.revision)
        current = AcceptedConfiguration(configuration)
    }

    private fun confirmed(
        revision: Revision,
        sentAt: Instant,
    ) {
        if (revision == own.revision) {
            own = own.merged(Knowledge(revision = revision, evidence = sentAt))
        }
    }

    private fun heardOf(revision: Revision) {
        highestHeardOf = Revision(maxOf(highestHeardOf.number, revision.number))
    }

    private fun step(
        now: Instant,
        event: () -> ConfigurationFault?,
    ): ConfigurationStep =
        synchronized(lock) {
            val before = own.revision
            val fault = event()
            ConfigurationStep(
                sends = relay.sends(own, now),
                accepted = own.revision.takeIf { it != before },
                fault = fault,
            )
        }
}
