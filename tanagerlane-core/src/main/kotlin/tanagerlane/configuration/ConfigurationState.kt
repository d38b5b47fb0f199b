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
 * The configuration of one process, and the evidence of how current it is.
 *
 * Only higher revisions are accepted, from the store or from neighbours. An age reported by a neighbour is counted from
 * the time at which the query was sent, so a delayed message can't make evidence look newer than it is.
 *
 * @param failureDomain failure domain of the process
 * @param firstNonce random number other than 0
 */
public class ConfigurationState(
    private val failureDomain: FailureDomain,
    firstNonce: Long,
    private val parameters: RelayParameters = RelayParameters(),
) {
    private val lock = Any()
    private val history = ChangeHistory(parameters.keptChanges)
    private val relay = Relay(parameters, firstNonce)
    private var own = FreshnessState()
    private var highestSeen = FreshnessState.NO_REVISION
    private var peerAnsweredAt: Instant? = null

    /** The configuration in force, or null before the first one is accepted. */
    @Volatile
    public var current: AcceptedConfiguration? = null
        private set

    /** Sets the hosts with which announcements are exchanged. */
    public fun replaceNeighbours(
        hosts: Set<HostName>,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            relay.replaceNeighbours(hosts)
            null
        }

    /** Handles [configuration], which the store returned for a call sent at [sentAt]. */
    public fun onStoreRead(
        configuration: Configuration,
        sentAt: Instant,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            accept(configuration)
            recordConfirmation(configuration.revision, sentAt)
            null
        }

    /** Handles the reply of the store to a call sent at [sentAt] that the document still has [revision]. */
    public fun onStoreUnchanged(
        revision: Revision,
        sentAt: Instant,
        now: Instant,
    ): ConfigurationStep =
        step(now) {
            recordConfirmation(revision, sentAt)
            null
        }

    /** Handles a call to the store that failed or timed out. */
    public fun onStoreUnreachable(now: Instant): ConfigurationStep =
        step(now) {
            own = own.merged(FreshnessState(storeFailures = mapOf(failureDomain to now)))
            null
        }

    /** Handles a message from a neighbour; messages of other types are ignored. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): ConfigurationStep =
        when (message) {
            is ConfigurationAsk -> answer(from, message, now)
            is ConfigurationAnnounce -> step(now) { onAnnouncement(from, message, now) }
            is ConfigurationDocument -> step(now) { applyDocument(message) }
            is ConfigurationChanges -> step(now) { applyChanges(message) }
            else -> ConfigurationStep(messages = emptyList())
        }

    /** Returns the messages that are due by time alone; to be called several times a second. */
    public fun tick(now: Instant): ConfigurationStep = step(now) { null }

    /** Returns whether requests may be served at [now], and why. */
    public fun freshness(now: Instant): Freshness =
        synchronized(lock) {
            val evidence = own.evidence
            val configuration = current?.configuration
            when {
                configuration == null -> Freshness.Unconfigured
                evidence != null && now - evidence <= parameters.maximumEvidenceAge -> Freshness.Fresh(now - evidence)
                isStoreOutage(configuration, now) -> Freshness.StoreOutage
                else -> Freshness.Isolated
            }
        }

    /** Whether a process that is no watcher has to call the store itself, as its failure domain reports nothing. */
    public fun shouldProbeStore(now: Instant): Boolean =
        synchronized(lock) {
            isOlder(own.evidence, now) && isOlder(own.storeFailures[failureDomain], now)
        }

    private fun isOlder(
        time: Instant?,
        now: Instant,
    ): Boolean = time == null || now - time > parameters.storeProbeAge

    private fun isStoreOutage(
        configuration: Configuration,
        now: Instant,
    ): Boolean {
        val domains = configuration.inventory.sites.flatMap { it.failureDomains }
        val domainsWithoutStore = domains.count { domain -> isRecent(own.storeFailures[domain], now) }
        val holdsHighest = highestSeen.number <= own.revision.number
        return holdsHighest && domainsWithoutStore * 2 > domains.size && isRecent(peerAnsweredAt, now)
    }

    private fun isRecent(
        time: Instant?,
        now: Instant,
    ): Boolean = time != null && now - time <= parameters.maximumEvidenceAge

    private fun onAnnouncement(
        from: HostName,
        message: ConfigurationAnnounce,
        now: Instant,
    ): ConfigurationFault? {
        recordSeen(message.revision)
        val answer = relay.onAnnouncement(from, message, now) ?: return null
        own = own.merged(answer.state)
        peerAnsweredAt = answer.askedAt
        return null
    }

    private fun answer(
        from: HostName,
        message: ConfigurationAsk,
        now: Instant,
    ): ConfigurationStep =
        synchronized(lock) {
            recordSeen(message.held)
            val content = if (own.revision.number > message.held.number) contentSince(message.held) else null
            val messages = listOfNotNull(content, own.toAnnouncement(message.nonce, now))
            ConfigurationStep(messages = messages.map { OutgoingMessage(from, it) } + relay.messagesDue(own, now))
        }

    private fun contentSince(revision: Revision): WireMessage? =
        history.since(revision)?.let { ConfigurationChanges(it) } ?: current?.let { ConfigurationDocument(it.content) }

    private fun applyChanges(message: ConfigurationChanges): ConfigurationFault? {
        val held = current?.configuration
        val newer = message.changes.dropWhile { it.revision.number <= own.revision.number }
        val expectedBases = listOf(held?.revision) + newer.map { it.revision }
        if (newer.map { it.base } != expectedBases.dropLast(1)) {
            return ConfigurationFault.NoBase(own.revision)
        }
        if (held != null) {
            accept(newer.fold(held) { configuration, change -> configuration.withChange(change) })
        }
        return null
    }

    private fun applyDocument(message: ConfigurationDocument): ConfigurationFault? =
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
        recordSeen(configuration.revision)
        current = AcceptedConfiguration(configuration)
    }

    private fun recordConfirmation(
        revision: Revision,
        sentAt: Instant,
    ) {
        if (revision == own.revision) {
            own = own.merged(FreshnessState(revision = revision, evidence = sentAt))
        }
    }

    private fun recordSeen(revision: Revision) {
        highestSeen = Revision(maxOf(highestSeen.number, revision.number))
    }

    private fun step(
        now: Instant,
        event: () -> ConfigurationFault?,
    ): ConfigurationStep =
        synchronized(lock) {
            val before = own.revision
            val fault = event()
            ConfigurationStep(
                messages = relay.messagesDue(own, now),
                accepted = own.revision.takeIf { it != before },
                fault = fault,
            )
        }
}
