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
import tanagerlane.sidecar.orders.OrderKeeper
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

/** The process beside one target: the only way to it. */
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
    private val client = TargetClient(vertx, settings.targetUrl)
    private val endpoint = WireEndpoint(hello(), scope, now = clock::now)
    private val registration = MemberRegistration(store)
    private val directory = MemberDirectory(settings.host.name)
    private val peers = PeerConnections(endpoint, scope, directory::addressOf, ::receive, clock::now)
    private val follower =
        ConfigurationFollower(
            host = settings.host.name,
            failureDomain = settings.host.failureDomain,
            store = store,
            send = peers::send,
            now = clock::now,
            onAccepted = ::takeConfiguration,
        )
    private val scheduler =
        TargetScheduler(
            vertx = vertx,
            targetUrl = settings.targetUrl,
            settings = TargetView.queueSettingsOf(window = 1),
            call = client::run,
            weightOf = { view?.weightOf(it) ?: 1 },
            now = clock::now,
        )
    private val claims = ClaimKeeper(settings.target, incarnation, store, clock::now)
    private val repeats = RepeatRunner(settings.target, incarnation, claims, scheduler::run, clock::now)
    private val guard = ArrivalGuard(incarnation, LimitTimes().permitValidity)
    private val attempts = AttemptServer(table, guard, scope, repeats::run, ::loadReport, ::receive, clock::now)
    private val items = ItemRunner(scheduler::run, maximumTokens = { view?.maximumTokensOf(it.model) ?: 1 })
    private val batch =
        BatchWorker(
            scope = scope,
            store = store,
            claimant = Claimant(settings.host.name, incarnation),
            rules = BatchRules(retryInterval = 1.seconds),
            target = BatchTarget(models = { view?.models.orEmpty() }, ::idleCapacity, items::run),
            registry = registry,
            weightOf = { view?.weightOf(it) ?: 1 },
            now = clock::now,
        )
    private val orders =
        OrderKeeper(
            target = settings.target,
            holder = OrderHolder(settings.host.name, incarnation),
            store = store,
            send = OrderClient(vertx, settings.targetUrl)::send,
            checksFencing = { view?.checksFencing ?: false },
            now = clock::now,
        )
    private val operators = OperatorServer(vertx, registry, ready = { !draining }, status = ::status)

    @Volatile
    private var view: TargetView? = null

    @Volatile
    private var draining = false

    @Volatile
    private var member: Member? = null

    private val takesNoWork: Boolean get() = draining || view?.isLeaving != false

    /** Starts to listen and registers; returns the address for other processes. */
    public suspend fun start(): Result<WireAddress, WireFault> {
        val address = WireAddress(settings.host.address, settings.host.wirePort)
        return endpoint.listen(address, attempts::serve).map { bound ->
            operators.start(settings.host.address, settings.host.operatorPort)
            scope.launch { attempts.expireLoop() }
            scope.launch { scheduler.tickLoop() }
            scope.launch { reportLoop() }
            scope.launch { follower.run() }
            scope.launch { orders.run() }
            scope.launch { PrefixWatcher(store, MemberRegistration.PREFIX).follow { takeMembers(it.values) } }
            batch.start()
            register(bound)
            logger.info("sidecar of {} listens on {}", settings.target, bound)
            bound
        }
    }

    /** Takes no new work, lets what runs finish, then stops. */
    public suspend fun drainAndStop() {
        draining = true
        attempts.broadcast(loadReport())
        member?.let { registration.remove(it) }
        batch.stop(BATCH_DRAIN)
        scheduler.drain()
        while (attempts.running > 0) {
            delay(DRAIN_INTERVAL)
        }
        delay(LINGER)
        stop()
    }

    /** Stops at once. */
    public suspend fun stop() {
        endpoint.close()
        scope.cancel()
        operators.stop()
    }

    private fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        follower.receive(from, message)
    }

    private fun takeConfiguration(configuration: Configuration) {
        val current = TargetView(configuration.inventory, settings.target)
        view = current
        scheduler.configure(current.queueSettings)
    }

    private fun takeMembers(objects: Collection<StoredObject>) {
        val members = MemberRegistration.membersIn(objects)
        directory.update(members)
        follower.replaceMembers(members.mapTo(HashSet()) { RelayMember(it.host, it.failureDomain) })
    }

    /** Items that may run now: what online requests leave of the window, and none while no new work is taken. */
    private fun idleCapacity(): Int {
        val load = scheduler.load
        return if (takesNoWork) 0 else (load.window - load.onlineRunning - load.onlineQueued).coerceAtLeast(0)
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
            draining = takesNoWork,
            admission = guard.nonce(clock.now()),
        )
    }

    private fun hello(): Hello = helloOf(settings.host, HostRole.SIDECAR, incarnation)

    private fun status(): String =
        """{"role":"sidecar","host":"${settings.host.name}","target":"${settings.target}","running":${attempts.running}}"""

    private companion object {
        val BATCH_DRAIN = 5.seconds
        val REPORT_INTERVAL = 500.milliseconds

        /** Time in which the last answers reach those who asked. */
        val LINGER = 1.seconds
        val DRAIN_INTERVAL = 50.milliseconds
        val logger = LoggerFactory.getLogger(SidecarDaemon::class.java)
    }
}
