package tanagerlane.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.attempts.AttemptAction
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.AttemptPolicy
import tanagerlane.inventory.Configuration
import tanagerlane.membership.Member
import tanagerlane.message.ChatWork
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.ServiceWork
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.platform.HopTracer
import tanagerlane.platform.MemberRegistration
import tanagerlane.platform.MonotonicClock
import tanagerlane.platform.OperatorServer
import tanagerlane.platform.PrefixWatcher
import tanagerlane.platform.StoredDocuments
import tanagerlane.platform.openTelemetryOf
import tanagerlane.settings.EntrySettings
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoredObject
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireEndpoint
import tanagerlane.wire.WireFault
import kotlin.time.Duration.Companion.milliseconds

/** The process that callers reach. */
public class EntryDaemon(
    private val settings: EntrySettings,
    private val store: ObjectStore,
    vertx: Vertx,
    private val clock: MonotonicClock = MonotonicClock(),
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = Incarnation(clock.now().toEpochMilliseconds())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val tracer = HopTracer(openTelemetryOf(settings.host, "tanagerlane-entry"))
    private val endpoint = WireEndpoint(hello(), scope, now = clock::now)
    private val active = ActiveRequests()
    private val links = SidecarLinks(endpoint, scope, active, clock::now) { }
    private val runner = RequestRunner(links, active, ::pick, AttemptPolicy(), clock::now)
    private val online = OnlineRoutes(Gate({ state }, { draining }), { _, _ -> null }, runner, tracer, clock::now)
    private val callers = CallerServer(vertx, online) { _, _ -> }
    private val operators = OperatorServer(vertx, registry, ready = { !draining }, status = ::status)

    @Volatile
    private var state: EntryState? = null

    @Volatile
    private var draining = false

    /** Port for callers, once started. */
    @Volatile
    public var callerPort: Int = 0
        private set

    /** Whether a configuration is in force. */
    public val isReady: Boolean get() = state != null

    /** Number of targets whose sidecars are connected. */
    public val connectedTargets: Int get() = links.connected().size

    /** Starts to listen; returns the address for other processes. */
    public suspend fun start(): Result<WireAddress, WireFault> {
        val address = WireAddress(settings.host.address, settings.host.wirePort)
        return endpoint.listen(address) { }.map { bound ->
            scope.launch { PrefixWatcher(store, CONFIGURATION_PREFIX).follow { takeConfiguration(it.values) } }
            scope.launch { PrefixWatcher(store, MemberRegistration.PREFIX).follow { takeMembers(it.values) } }
            operators.start(settings.host.address, settings.host.operatorPort)
            callerPort = callers.start(settings.host.address, settings.callerPort)
            logger.info("entry listens for callers on port {}", callerPort)
            bound
        }
    }

    /** Refuses new requests, answers those that are open, then stops. */
    public suspend fun drainAndStop() {
        draining = true
        while (callers.openRequests > 0) {
            delay(DRAIN_INTERVAL)
        }
        stop()
    }

    /** Stops at once. */
    public suspend fun stop() {
        callers.stop()
        links.stop()
        endpoint.close()
        scope.cancel()
        operators.stop()
    }

    private fun takeConfiguration(objects: Collection<StoredObject>) {
        val newest =
            objects
                .mapNotNull { StoredDocuments.decode(Configuration.serializer(), it.value).get() }
                .maxByOrNull { it.revision.number } ?: return
        if (newest.revision.number > (state?.configuration?.revision?.number ?: 0)) {
            state = EntryState(newest)
            logger.info("configuration {} in force", newest.revision)
        }
    }

    private fun takeMembers(objects: Collection<StoredObject>) {
        links.update(objects.mapNotNull { StoredDocuments.decode(Member.serializer(), it.value).get() })
    }

    private fun pick(
        request: OnlineRequest,
        action: AttemptAction.TryNext,
    ): AttemptEvent {
        val targets =
            when (val work = request.work) {
                is ChatWork -> state?.targetsOf(work.model)
                is ServiceWork -> state?.targetsOf(work.service)
            }.orEmpty()
        val connected = targets.mapNotNull { target -> links.of(target)?.takeIf { it.incarnation != null } }
        val link = connected.filterNot { it.target in action.tried }.randomOrNull() ?: connected.randomOrNull()
        val incarnation = link?.incarnation ?: return AttemptEvent.NoTarget(RefusalReason.NO_TARGET)
        return AttemptEvent.TargetPicked(link.target, incarnation)
    }

    private fun hello(): Hello =
        Hello(
            protocolVersion = WireEndpoint.PROTOCOL_VERSION,
            host = settings.host.name,
            role = HostRole.ENTRY,
            incarnation = incarnation,
            failureDomain = settings.host.failureDomain,
        )

    private fun status(): String =
        """{"role":"entry","host":"${settings.host.name}","revision":${state?.configuration?.revision ?: 0}}"""

    private companion object {
        const val CONFIGURATION_PREFIX = "configuration/"
        val DRAIN_INTERVAL = 50.milliseconds
        val logger = LoggerFactory.getLogger(EntryDaemon::class.java)
    }
}
