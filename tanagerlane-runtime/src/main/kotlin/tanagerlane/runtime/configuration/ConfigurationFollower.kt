package tanagerlane.runtime.configuration

import org.slf4j.LoggerFactory
import tanagerlane.configuration.ConfigurationState
import tanagerlane.configuration.ConfigurationStep
import tanagerlane.configuration.RelayMember
import tanagerlane.configuration.RelayTopology
import tanagerlane.inventory.Configuration
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.store.ObjectStore
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Keeps the configuration of one process current, from the object API and from other processes.
 *
 * @param send passes a message to another process; it may be lost
 * @param onAccepted called with each configuration that comes into force, in the order of their revisions
 */
public class ConfigurationFollower(
    private val host: HostName,
    failureDomain: FailureDomain,
    store: ObjectStore,
    private val send: (HostName, WireMessage) -> Unit,
    private val now: () -> Instant,
    private val onAccepted: (Configuration) -> Unit,
) {
    private val state = ConfigurationState(failureDomain, firstNonce = Random.nextLong(1, Long.MAX_VALUE))
    private val watcher =
        ConfigurationWatcher(
            store = store,
            state = state,
            failureDomain = failureDomain,
            now = now,
            isWatcher = { isWatcher },
            onStep = ::perform,
        )

    @Volatile
    private var isWatcher = true

    /** Whether requests may be served by the configuration in force. */
    public val serves: Boolean get() = state.freshness(now()).canServe

    /** Follows the configuration; returns only by cancellation. */
    public suspend fun run(): Unit = watcher.run()

    /** Replaces the processes that take part in relaying; this one counts as one of them. */
    public fun replaceMembers(members: Set<RelayMember>) {
        val plan = RelayTopology(members)
        isWatcher = members.none { it.host == host } || plan.isWatcher(host)
        perform(state.replaceNeighbours(plan.neighboursOf(host), now()))
    }

    /** Takes a message of another process; those of other kinds change nothing. */
    public fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        perform(state.receive(from, message, now()))
    }

    private fun perform(step: ConfigurationStep) {
        step.fault?.let { logger.warn("configuration not taken: {}", it) }
        if (step.accepted != null) {
            accept()
        }
        step.messages.forEach { send(it.to, it.message) }
    }

    @Synchronized
    private fun accept() {
        val configuration = state.current?.configuration ?: return
        logger.info("configuration {} in force", configuration.revision)
        onAccepted(configuration)
    }

    private companion object {
        val logger = LoggerFactory.getLogger(ConfigurationFollower::class.java)
    }
}
