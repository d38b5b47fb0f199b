package tanagerlane.sidecar

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
import org.slf4j.LoggerFactory
import tanagerlane.attempts.AttemptTable
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.configuration.RelayMember
import tanagerlane.inventory.Configuration
import tanagerlane.jobs.BatchTarget
import tanagerlane.jobs.BatchWorker
import tanagerlane.limits.ArrivalGuard
import tanagerlane.limits.LimitTimes
import tanagerlane.membership.Member
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.LoadReport
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.orders.OrderHolder
import tanagerlane.runtime.MemberRegistration
import tanagerlane.runtime.MonotonicClock
import tanagerlane.runtime.OperatorServer
import tanagerlane.runtime.PrefixWatcher
import tanagerlane.runtime.configuration.ConfigurationFollower
import tanagerlane.settings.SidecarSettings
import tanagerlane.sidecar.engine.TargetScheduler
import tanagerlane.sidecar.orders.OrderClient
import tanagerlane.sidecar.orders.OrderExecutor
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoredObject
import tanagerlane.wire.MemberDirectory
import tanagerlane.wire.PeerConnections
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireEndpoint
import tanagerlane.wire.WireFault
import tanagerlane.wire.helloOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sidecar process of one target; the target is reached only through it. */
public class SidecarDaemon(
    private val settings: SidecarSettings,
    private val store: ObjectStore,
    private val vertx: Vertx,
    private val clock: MonotonicClock = MonotonicClock(),
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = Incarnation(clock.now().toEpochMilliseconds())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val table = AttemptTable(incarnation)
    private val targetClient = TargetClient(vertx, settings.targetUrl)
    private val endpoint = WireEndpoint(hello(), scope, now = clock::now)
    private val registration = MemberRegistration(store)
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
    private val scheduler =
        TargetScheduler(
            vertx = vertx,
            targetUrl = settings.targetUrl,
            settings = TargetConfiguration.queueSettingsOf(window = 1),
            call = targetClient::run,
            weightOf = { targetConfiguration?.weightOf(it) ?: 1 },
            now = clock::now,
        )
    private val claimCoordinator = ClaimCoordinator(settings.target, incarnation, store, clock::now)
    private val deduplicatingRunner =
        DeduplicatingRunner(settings.target, incarnation, claimCoordinator, scheduler::run, clock::now)
    private val guard = ArrivalGuard(incarnation, LimitTimes().permitValidity)
    private val attempts =
        AttemptServer(table, guard, scope, deduplicatingRunner::run, ::loadReport, ::receive, clock::now)
    private val itemRunner =
        ItemRunner(scheduler::run, maximumTokens = { targetConfiguration?.maximumTokensOf(it.model) ?: 1 })
    private val batchWorker =
        BatchWorker(
            scope = scope,
            store = store,
            claimant = Claimant(settings.host.name, incarnation),
            rules = BatchRules(retryInterval = 1.seconds),
            target = BatchTarget(models = { targetConfiguration?.models.orEmpty() }, ::idleCapacity, itemRunner::run),
            registry = registry,
            weightOf = { targetConfiguration?.weightOf(it) ?: 1 },
            now = clock::now,
        )
    private val orderExecutor =
        OrderExecutor(
            target = settings.target,
            holder = OrderHolder(settings.host.name, incarnation),
            store = store,
            send = OrderClient(vertx, settings.targetUrl)::send,
            checksFencing = { targetConfiguration?.checksFencing ?: false },
            now = clock::now,
        )
    private val operatorServer = OperatorServer(vertx, registry, ready = { !draining }, status = ::status)

    @Volatile
    private var targetConfiguration: TargetConfiguration? = null

    @Volatile
    private var draining = false

    @Volatile
    private var member: Member? = null

    private val refusesNewWork: Boolean get() = draining || targetConfiguration?.isLeaving != false

    /** Starts listening and registers the sidecar; returns the address for other processes. */
    public suspend fun start(): Result<WireAddress, WireFault> {
        val address = WireAddress(settings.host.address, settings.host.wirePort)
        return endpoint.listen(address, attempts::serve).map { bound ->
            operatorServer.start(settings.host.address, settings.host.operatorPort)
            scope.launch { attempts.expireLoop() }
            scope.launch { scheduler.tickLoop() }
            scope.launch { reportLoop() }
            scope.launch { configurationFollower.run() }
            scope.launch { orderExecutor.run() }
            scope.launch { PrefixWatcher(store, MemberRegistration.PREFIX).follow { updateMembers(it.values) } }
            batchWorker.start()
            register(bound)
            logger.info("sidecar listening target={} wire={}", settings.target, bound)
            bound
        }
    }

    /** Stops accepting work, waits until running attempts have ended, then stops. */
    public suspend fun drainAndStop() {
        draining = true
        attempts.broadcast(loadReport())
        member?.let { registration.remove(it) }
        batchWorker.stop(BATCH_DRAIN_TIMEOUT)
        scheduler.drain()
        while (attempts.running > 0) {
            delay(DRAIN_POLL_INTERVAL)
        }
        delay(FINAL_DELIVERY_DELAY)
        stop()
    }

    /** Stops immediately. */
    public suspend fun stop() {
        endpoint.close()
        scope.cancel()
        operatorServer.stop()
    }

    private fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        configurationFollower.receive(from, message)
    }

    private fun applyConfiguration(configuration: Configuration) {
        val current = TargetConfiguration(configuration.inventory, settings.target)
        targetConfiguration = current
        scheduler.configure(current.queueSettings)
    }

    private fun updateMembers(objects: Collection<StoredObject>) {
        val members = MemberRegistration.membersIn(objects)
        directory.update(members)
        configurationFollower.replaceMembers(members.mapTo(HashSet()) { RelayMember(it.host, it.failureDomain) })
    }

    /** Number of batch items that may run now: the slots left by online requests, or 0 while work is refused. */
    private fun idleCapacity(): Int {
        val load = scheduler.load
        return if (refusesNewWork) 0 else (load.window - load.onlineRunning - load.onlineQueued).coerceAtLeast(0)
    }

    private fun register(bound: WireAddress) {
        val registered =
            Member(
                host = settings.host.name,
                role = HostRole.SIDECAR,
                incarnation = incarnation,
                failureDomain = settings.host.failureDomain,
                address = bound.toString(),
                target = settings.target,
            )
        member = registered
        scope.launch { registration.register(registered) }
    }

    private suspend fun reportLoop() {
        while (true) {
            attempts.broadcast(loadReport())
            delay(REPORT_INTERVAL)
        }
    }

    private fun loadReport(): LoadReport {
        val load = scheduler.load
        return LoadReport(
            target = settings.target,
            onlineQueued = load.onlineQueued,
            onlineRunning = load.onlineRunning,
            window = load.window,
            draining = refusesNewWork,
            admission = guard.nonce(clock.now()),
        )
    }

    private fun hello(): Hello = helloOf(settings.host, HostRole.SIDECAR, incarnation)

    private fun status(): String =
        """{"role":"sidecar","host":"${settings.host.name}","target":"${settings.target}","running":${attempts.running}}"""

    private companion object {
        val BATCH_DRAIN_TIMEOUT = 5.seconds
        val REPORT_INTERVAL = 500.milliseconds

        /** Delay before the connections are closed, so that the last answers reach their callers. */
        val FINAL_DELIVERY_DELAY = 1.seconds
        val DRAIN_POLL_INTERVAL = 50.milliseconds
        val logger = LoggerFactory.getLogger(SidecarDaemon::class.java)
    }
}
