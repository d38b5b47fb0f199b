package tanagerlane.entry

import com.github.michaelbull.result.Result
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
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.attempts.AttemptPolicy
import tanagerlane.configuration.RelayMember
import tanagerlane.inventory.Configuration
import tanagerlane.jobs.JobStore
import tanagerlane.limits.EntryPeer
import tanagerlane.limits.FleetLimiter
import tanagerlane.limits.LimiterSettings
import tanagerlane.limits.OutgoingMessage
import tanagerlane.limits.SlotLeases
import tanagerlane.limits.SlotSettings
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.refusals.RefusalLedger
import tanagerlane.refusals.RefusalPeer
import tanagerlane.runtime.HopTracer
import tanagerlane.runtime.MemberRegistration
import tanagerlane.runtime.MonotonicClock
import tanagerlane.runtime.OperatorServer
import tanagerlane.runtime.configuration.ConfigurationFollower
import tanagerlane.runtime.openTelemetryOf
import tanagerlane.settings.EntrySettings
import tanagerlane.store.ObjectStore
import tanagerlane.wire.MemberDirectory
import tanagerlane.wire.PeerConnections
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireEndpoint
import tanagerlane.wire.WireFault
import tanagerlane.wire.helloOf
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The entry process: accepts requests from callers and sends them to the sidecars of targets. */
public class EntryDaemon(
    private val settings: EntrySettings,
    private val store: ObjectStore,
    vertx: Vertx,
    private val clock: MonotonicClock = MonotonicClock(),
) {
    private val startedAt = clock.now()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = Incarnation(clock.now().toEpochMilliseconds())
    private val registration = MemberRegistration(store)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val tracer = HopTracer(openTelemetryOf(settings.host, "tanagerlane-entry"))
    private val endpoint = WireEndpoint(helloOf(settings.host, HostRole.ENTRY, incarnation), scope, now = clock::now)
    private val activeRequests = ActiveRequests()
    private val directory = MemberDirectory(settings.host.name)
    private val peers = PeerConnections(endpoint, scope, directory::addressOf, ::receive, clock::now)
    private val configurationFollower =
        ConfigurationFollower(
            host = settings.host.name,
            failureDomain = settings.host.failureDomain,
            store = store,
            send = peers::send,
            now = clock::now,
            onAccepted = ::applyConfiguration,
        )
    private val memberFollower =
        MemberFollower(
            store = store,
            connected = { peers.connected },
            slotHolders = { slots?.holders.orEmpty() },
            send = peers::send,
            onMembers = ::applyMembers,
            onSlotHolders = { slots?.learnHolders(it) },
        )
    private val picker = TargetPicker(settings.host.failureDomain, clock::now)
    private val links = SidecarLinks(endpoint, scope, activeRequests, picker, clock::now)
    private val limiter = FleetLimiter(LimiterSettings(settings.host.name, incarnation, settings.slots))
    private val rateControl = RateControl(limiter, ::send, clock::now)
    private val charger = RateCharger(rateControl, links::nonces)
    private val runner = RequestRunner(links, activeRequests, picker, charger, AttemptPolicy(), clock::now)
    private val access = CallerAccess({ state?.takeIf { configurationFollower.serves } }, { refusing })
    private val onlineRoutes = OnlineRoutes(access, charger, runner, tracer, clock::now)
    private val jobRoutes =
        JobRoutes(access, JobStore(store, newUpload = { UUID.randomUUID().toString() }), Clock.System::now)
    private val refusals =
        RefusalRecorder(
            host = settings.host.name,
            failureDomain = settings.host.failureDomain,
            ledger = RefusalLedger(settings.host.name, incarnation),
            store = store,
            registry = registry,
            peers = { liveEntries().map { RefusalPeer(it.host, it.failureDomain) } },
            send = peers::send,
            now = clock::now,
        )
    private val callerServer = CallerServer(vertx, onlineRoutes, jobRoutes, refusals::record, { draining })
    private val operatorServer =
        OperatorServer(vertx, registry, ready = { !draining && acceptsCallers() }, status = ::status)

    @Volatile
    private var slots: SlotLeaseManager? = null

    @Volatile
    private var state: EntryState? = null

    @Volatile
    private var draining = false

    @Volatile
    private var refusing = false

    @Volatile
    private var member: Member? = null

    /** Port for callers, or 0 before the start. */
    @Volatile
    public var callerPort: Int = 0
        private set

    /** Whether a configuration is in force and this entry can spend or borrow shares of the rates. */
    public val isReady: Boolean get() = state != null && slots?.isUsable(peers.connected) == true

    /** Number of targets whose sidecars are connected. */
    public val connectedTargets: Int get() = links.connected().size

    /** Starts to listen; returns the address for other processes, or why the entry cannot listen on it. */
    public suspend fun start(): Result<WireAddress, WireFault> {
        val address = WireAddress(settings.host.address, settings.host.wirePort)
        return endpoint.listen(address, peers::serve).map { bound ->
            startRateControl(bound)
            register(bound)
            scope.launch { configurationFollower.run() }
            scope.launch { refusals.storeLoop() }
            scope.launch { probeLoop() }
            scope.launch { memberFollower.run() }
            operatorServer.start(settings.host.address, settings.host.operatorPort)
            callerPort = callerServer.start(settings.host.address, settings.callerPort)
            logger.info("listening for callers port={}", callerPort)
            bound
        }
    }

    /**
     * Stops after the open requests were answered.
     *
     * `/health` reports at once that callers should go elsewhere; requests are served for [DRAIN_NOTICE], then refused.
     */
    public suspend fun drainAndStop() {
        draining = true
        logger.info("draining")
        member?.let { registration.remove(it) }
        delay(DRAIN_NOTICE)
        refusing = true
        while (callerServer.openRequests > 0) {
            delay(DRAIN_CHECK_INTERVAL)
        }
        withTimeoutOrNull(RELEASE_TIMEOUT) { slots?.release() }
        withTimeoutOrNull(RELEASE_TIMEOUT) { refusals.flushAll() }
        stop()
    }

    /** Stops at once; open requests are cancelled. */
    public suspend fun stop() {
        callerServer.stop()
        links.stop()
        endpoint.close()
        scope.cancel()
        operatorServer.stop()
    }

    private fun startRateControl(bound: WireAddress) {
        val slotSettings =
            SlotSettings(
                host = settings.host.name,
                incarnation = incarnation,
                address = bound.host,
                wirePort = bound.port,
                slotCount = settings.slots,
            )
        val leases = SlotLeases(slotSettings, settings.host.failureDomain)
        val manager =
            SlotLeaseManager(
                host = settings.host.name,
                slotCount = settings.slots,
                leases = leases,
                limiter = limiter,
                store = store,
                peers = { liveEntries().map { EntryPeer(it.host, it.failureDomain) } },
                send = ::send,
                now = clock::now,
            )
        slots = manager
        manager.start(scope)
        scope.launch { rateControl.tickLoop() }
    }

    private fun register(bound: WireAddress) {
        val registered =
            Member(
                host = settings.host.name,
                role = HostRole.ENTRY,
                incarnation = incarnation,
                failureDomain = settings.host.failureDomain,
                address = bound.toString(),
            )
        member = registered
        scope.launch { registration.register(registered) }
    }

    private fun send(outgoing: OutgoingMessage) {
        peers.send(outgoing.to, outgoing.message)
    }

    private suspend fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        rateControl.receive(from, message)
        refusals.receive(from, message)
        configurationFollower.receive(from, message)
        memberFollower.receive(from, message)
        slots?.receive(from, message)
    }

    private fun applyConfiguration(configuration: Configuration) {
        rateControl.configure(configuration.inventory)
        picker.configure(configuration.inventory)
        state = EntryState(configuration)
        updateLinks()
    }

    private fun applyMembers(members: Collection<Member>) {
        directory.update(members)
        refusals.entriesChanged(liveIncarnations())
        configurationFollower.replaceMembers(members.mapTo(HashSet()) { RelayMember(it.host, it.failureDomain) })
        updateLinks()
    }

    /** Probes other entries to detect those that fail without closing a connection; returns only by cancellation. */
    private suspend fun probeLoop() {
        while (true) {
            directory.otherEntries.take(MAXIMUM_PROBED_ENTRIES).forEach { peers.probe(it.host) }
            memberFollower.askOthers()
            refusals.entriesChanged(liveIncarnations())
            delay(PROBE_INTERVAL)
        }
    }

    /** Other entries that are registered and reachable. */
    private fun liveEntries(): List<Member> {
        val unreachable = peers.unreachableFor(UNREACHABLE_TIMEOUT)
        return directory.otherEntries.filterNot { it.host in unreachable }
    }

    private fun liveIncarnations(): Map<HostName, Incarnation> = liveEntries().associate { it.host to it.incarnation }

    /** Whether callers should be sent to this entry: it can serve requests and enforce their rates. */
    private fun acceptsCallers(): Boolean {
        val hasSlots = slots?.holdsSlot == true || clock.now() - startedAt > SLOT_WAIT_LIMIT
        return isReady && configurationFollower.serves && hasSlots && links.usable().isNotEmpty()
    }

    private fun updateLinks() {
        val used = state?.sidecarsUsedBy(settings.host.name) ?: return
        links.update(directory.members.filter { it.target in used })
    }

    private fun status(): String =
        """{"role":"entry","host":"${settings.host.name}","revision":${state?.configuration?.revision ?: 0},""" +
            """"ready":${acceptsCallers()},"usableTargets":${links.usable().size}}"""

    public companion object {
        /** Time for which requests are still served after a stop was requested. */
        public val DRAIN_NOTICE: Duration = 5.seconds

        /** Time that an entry waits for a slot of its own before it accepts callers on borrowed shares alone. */
        private val SLOT_WAIT_LIMIT = 15.seconds
        private val UNREACHABLE_TIMEOUT = 10.seconds
        private val PROBE_INTERVAL = 1.seconds
        private const val MAXIMUM_PROBED_ENTRIES = 16
        private val DRAIN_CHECK_INTERVAL = 50.milliseconds
        private val RELEASE_TIMEOUT = 15.seconds
        private val logger = LoggerFactory.getLogger(EntryDaemon::class.java)
    }
}
