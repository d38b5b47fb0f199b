package tanagerlane.direct

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.attempts.LivenessSettings
import tanagerlane.limits.EntryFleet
import tanagerlane.limits.SharedRates
import tanagerlane.membership.Member
import tanagerlane.membership.StartupGracePeriod
import tanagerlane.membership.StopPlan
import tanagerlane.message.ForwardedReport
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.JobReport
import tanagerlane.message.PlaceReport
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedReply
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.message.ViewRequest
import tanagerlane.message.ViewUpdate
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.TargetList
import tanagerlane.runtime.MonotonicClock
import tanagerlane.runtime.OperatorServer
import tanagerlane.runtime.StoreCall
import tanagerlane.serving.ServingConfiguration
import tanagerlane.settings.DirectSettings
import tanagerlane.views.ObjectView
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireEndpoint
import tanagerlane.wire.WireFault
import tanagerlane.wire.WireLimits
import tanagerlane.wire.helloOf
import java.nio.file.Path
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A process that calls targets directly: an entry for callers, or a runner of batch jobs.
 *
 * @param deploymentOf makes the deployment; takes a function to call for each call of the object API
 */
public class DirectDaemon(
    private val settings: DirectSettings,
    deploymentOf: (count: (StoreCall) -> Unit) -> Deployment,
    private val vertx: Vertx,
) {
    private val clock = MonotonicClock()
    private val startedAt = clock.now()
    private val incarnation = Incarnation(Clock.System.now().toEpochMilliseconds())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = DirectMetrics(registry)
    private val deployment = deploymentOf { metrics.storeCalls(it).increment() }
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher() + failureLog())
    private val endpoint = WireEndpoint(hello(), scope, WIRE_LIMITS, clock::now)
    private val fleet: Fleet =
        Fleet(vertx, hello(), scope, endpoint, clock::now, ::receive) { runner.requestSchedulingPass() }
    private val places = LoadBalancer(settings.host.name, settings.host.failureDomain)
    private val rates = SharedRates()
    private val headers = RequestHeaders(deployment.headers)
    private val client = TargetClient(vertx, deployment.headers.requestId, clock::now)
    private val relay = StoreRelay(deployment.store, scope, { fleet.helpers }, fleet::send, clock::now)
    private val storage = JobStorage(relay, settings.maximumValueBytes / VALUE_OVERHEAD)
    private val board = JobIndex(storage)
    private val results = ResultsClient(fleet)
    private val members = Membership(deployment.store, fleet, clock::now)
    private val decodedConfigurations = DecodedObjects(deployment.configuration)
    private val decodedTargets = DecodedObjects(deployment.targets)
    private val decodedRemovals = DecodedObjects(deployment.removals)
    private var targets = TargetList()
    private var configuration: ServingConfiguration? = null
    private var isLeaving = false
    private var stopPlan: StopPlan? = null
    private var registration: Job? = null
    private val reports = PlaceReports(fleet, incarnation, places, rates, clock::now, { isLeaving }, ::entryFleet)

    private val configurationKeeper = keeper(deployment.configuration.kind, CONFIGURATION_TIMES, ::takeConfiguration)
    private val targetKeeper = keeper(deployment.targets.kind, TARGET_TIMES, ::takeTargets)
    private val jobKeeper = keeper(JobStorage.JOBS_KIND, JOB_TIMES, ::takeJobs)
    private val memberKeeper = keeper(Membership.KIND, MEMBER_TIMES, members::update)
    private val removalKeeper = keeper(deployment.removals.kind, REMOVAL_TIMES, ::takeRemovals)
    private val keepers =
        listOf(configurationKeeper, targetKeeper, jobKeeper, memberKeeper, removalKeeper)
            .associateBy { it.view.kind }

    private val saver =
        settings.host.dataFolder?.let { folder ->
            ProgressSaver(vertx, ProgressFile(Path.of(folder), incarnation), Clock.System::now)
        }
    private val runner: JobRunner =
        JobRunner(
            scope = scope,
            fleet = fleet,
            storage = storage,
            jobIndex = board,
            loadBalancer = places,
            itemRunner = ItemRunner(client, headers, deployment.headers),
            progressSaver = saver,
            metrics = metrics,
            configuration = { configuration },
            isConfigurationCurrent = ::isCurrent,
            isLeaving = { isLeaving },
            knowsRunners = ::knowsRunners,
            now = clock::now,
            wallClock = Clock.System::now,
            onLoadChanged = reports::want,
        )
    private val online =
        OnlineHandler(places, client, headers, deployment.headers, metrics, clock::now, reports::want)
    private val desk =
        JobCallHandler(
            fleet = fleet,
            storage = storage,
            jobIndex = board,
            resultsClient = results,
            bodyFormat = deployment.jobs,
            resultTime = settings.resultTime,
            wallClock = Clock.System::now,
        )
    private val callers =
        CallerService(
            vertx = vertx,
            scope = scope,
            deployment = deployment,
            online = online,
            desk = desk,
            rates = rates,
            metrics = metrics,
            state =
                CallerState(
                    configuration = ::callersConfiguration,
                    isCurrent = ::isCurrent,
                    entries = ::entryFleet,
                    isReady = { !isLeaving && callersConfiguration() != null && targets.listed.isNotEmpty() },
                    isStopping = { isLeaving },
                    takesRequests = { stopPlan?.acceptsRequests(clock.now()) ?: true },
                ),
            now = clock::now,
        )
    private val operators = OperatorServer(vertx, registry, ready = { !isLeaving }, status = ::status)

    private val isRunner: Boolean get() = settings.role == HostRole.BATCH

    /** Runners have no callers that must learn of a stop. */
    private val stopNotice: Duration get() = if (isRunner) Duration.ZERO else BALANCER_NOTICE

    /** Starts to serve; returns the address for other processes. */
    public suspend fun start(): Result<WireAddress, WireFault> =
        withContext(scope.coroutineContext) {
            val address = WireAddress(settings.host.address, settings.host.wirePort)
            fleet.listen(address)
            endpoint.listen(address, fleet::serve).map { bound ->
                settings.callerAddress?.let { callers.listen(it, settings.readyAddress) }
                launchLoops(bound)
                operators.start(settings.host.address, settings.host.operatorPort)
                logger.info(
                    "started host={} role={} incarnation={} wire={}",
                    settings.host.name,
                    settings.role,
                    incarnation,
                    bound,
                )
                bound
            }
        }

    /**
     * Stops without cutting a request, as far as the time to stop allows.
     *
     * Requests are taken during the notice only, so that those that keep coming on open connections do not hold it up.
     */
    public suspend fun drainAndStop() {
        withContext(scope.coroutineContext) {
            val plan = StopPlan(clock.now(), stopNotice, settings.stopTime, STOP_MARGIN)
            stopPlan = plan
            logger.info("stopping open_requests={}", callers.openRequests)
            leave()
            finishOpenWork(plan)
            logger.info("closing connections open_requests={} jobs_released={}", callers.openRequests, runner.isEmpty)
            callers.endAll()
            withTimeoutOrNull(STOP_MARGIN / 2) {
                // Its loop would register this process again as soon as it learns of the removal.
                registration?.cancelAndJoin()
                members.remove()
            }
            logger.info("stopped")
        }
    }

    /** Waits until [plan] ends, closing connections of callers as they fall idle. */
    private suspend fun finishOpenWork(plan: StopPlan) {
        while (true) {
            if (!plan.acceptsRequests(clock.now())) {
                callers.closeIdleConnections()
            }
            if (plan.isOver(clock.now(), hasOpenWork())) {
                return
            }
            delay(STOP_INTERVAL)
        }
    }

    /** Whether there is work to finish before this process ends; a connection closes once its last answer is sent. */
    private fun hasOpenWork(): Boolean =
        callers.openRequests > 0 || callers.hasUnreadAnswers || !runner.isEmpty || relay.isHelping

    private fun launchLoops(bound: WireAddress) {
        keepers.values.forEach { keeper -> launchLoop("view of ${keeper.view.kind}", keeper::run) }
        registration = launchLoop("membership") { members.run(memberOf(bound)) }
        launchLoop("reports", reports::run)
        launchLoop("ticks", ::tickLoop)
        if (isRunner) {
            launchLoop("jobs", runner::run)
            launchLoop("job reports", ::jobReportLoop)
            saver?.let { launchLoop("progress") { it.run(runner::jobs) } }
        }
    }

    /** Runs [loop] until this process ends; one that throws is logged and begins anew. */
    private fun launchLoop(
        name: String,
        loop: suspend () -> Unit,
    ): Job =
        scope.launch {
            while (true) {
                try {
                    loop()
                } catch (exception: CancellationException) {
                    throw exception
                } catch (exception: Exception) {
                    logger.error("loop failed loop={}", name, exception)
                }
                delay(LOOP_RETRY)
            }
        }

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK)
            fleet.tick()
            updatePlaces()
        }
    }

    /** Reports what is left of the jobs that this process runs. */
    private suspend fun jobReportLoop() {
        while (true) {
            delay(JOB_REPORT_INTERVAL)
            runner.backlog().chunked(JOBS_IN_A_REPORT).forEach { fleet.broadcast(JobReport(fleet.own, it)) }
        }
    }

    private fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        when (message) {
            is PlaceReport -> noteReport(reports.received(message))
            is ForwardedReport -> noteReport(message.report.host != fleet.own && reports.accepted(message.report))
            is JobReport -> board.updateBacklogs(message.backlog)
            is ViewUpdate -> keepers[message.kind]?.received(from, message)
            is ViewRequest -> keepers[message.kind]?.requested(from)
            is ResultsQuery -> runner.answer(from, message)
            is ResultsReply -> results.onReply(message)
            is RelayedCall -> relay.requested(from, message)
            is RelayedReply -> relay.received(message)
            else -> logger.warn("unexpected message from={} type={}", from, message::class.simpleName)
        }
    }

    private fun noteReport(isNew: Boolean) {
        if (isNew && isRunner) {
            runner.preemptItems()
            runner.requestSchedulingPass()
        }
    }

    private fun takeConfiguration(view: ObjectView) {
        val decoded = decodedConfigurations.of(view)
        val newest = decoded.maxByOrNull { it.revision.number } ?: return
        if (newest.revision.number <= (configuration?.revision?.number ?: -1)) {
            return
        }
        logger.info(
            "configuration in force revision={} version={} before={}",
            newest.revision,
            view.at,
            configuration?.revision,
        )
        configuration = newest
        rates.configure(
            newest.workspaces
                .mapNotNull { (name, workspace) ->
                    workspace.rate?.let { name to it }
                }.toMap(),
            clock.now(),
        )
        runner.requestSchedulingPass()
    }

    private fun takeTargets(view: ObjectView) {
        val decoded = decodedTargets.of(view)
        val updated = targets.updated(decoded, clock.now())
        if (updated.listed != targets.listed) {
            logChanges(updated.listed.values, view)
        }
        targets = updated
        updatePlaces()
    }

    private fun logChanges(
        listed: Collection<DirectTarget>,
        view: ObjectView,
    ) {
        val before = targets.listed.values.toSet()
        val added =
            listed.filter { it !in before }.joinToString(
                ",",
            ) { "${it.name}${if (it.leaving) "(leaving)" else ""}" }
        val gone = (targets.listed.keys - listed.map { it.name }.toSet()).joinToString(",")
        logger.info("targets changed version={} changed=[{}] gone=[{}] listed={}", view.at, added, gone, listed.size)
    }

    private fun updatePlaces() {
        val usable = targets.usable(clock.now())
        places.configure(usable)
        client.keepOnly(usable.mapTo(HashSet()) { it.address })
    }

    private fun takeJobs(view: ObjectView) {
        board.update(view)
        runner.requestSchedulingPass()
    }

    private fun takeRemovals(view: ObjectView) {
        val own =
            decodedRemovals.of(view).firstOrNull { it.host == settings.host.name && !it.isDone } ?: return
        if (!isLeaving) {
            logger.info("host is to be emptied host={} version={}", own.host, view.at)
            leave()
            scope.launch { emptyHost() }
        }
    }

    /** Takes no new work from now on, and tells the others. */
    private fun leave() {
        isLeaving = true
        runner.requestSchedulingPass()
        reports.want()
    }

    private suspend fun emptyHost() {
        while (!runner.isEmpty || relay.isHelping) {
            delay(STOP_INTERVAL)
        }
        while (!deployment.reportRemoved(settings.host.name)) {
            delay(REMOVAL_RETRY)
        }
        logger.info("host is empty host={}", settings.host.name)
    }

    private fun keeper(
        kind: String,
        times: ViewTimes,
        onChange: (ObjectView) -> Unit,
    ) = ViewKeeper(kind, deployment.store, fleet, times, clock::now, onChange)

    /** The configuration to serve callers by; none until the other entries are known, with whom rates are shared. */
    private fun callersConfiguration(): ServingConfiguration? = configuration.takeIf { memberKeeper.view.isComplete }

    /** Whether the configuration was known to be the newest a moment ago. */
    private fun isCurrent(): Boolean = configurationKeeper.age()?.let { it <= settings.configurationBound } ?: false

    private fun entryFleet(): EntryFleet {
        val entries =
            fleet.members
                .filter { it.role == HostRole.ENTRY }
                .map { it.host }
                .toSet() + settings.host.name
        val reachable = fleet.reachable
        return EntryFleet(
            known = entries.size,
            reachable = entries.count { it == settings.host.name || it in reachable },
        )
    }

    /** Whether all registered runners were heard, or had the time to be since this process started. */
    private fun knowsRunners(): Boolean {
        val members = fleet.members.takeIf { memberKeeper.view.isComplete }
        return START_WAIT.isOver(members, HostRole.BATCH, fleet.unheard, clock.now() - startedAt)
    }

    private fun memberOf(bound: WireAddress): Member =
        Member(
            host = settings.host.name,
            role = settings.role,
            incarnation = incarnation,
            failureDomain = settings.host.failureDomain,
            address = bound.toString(),
        )

    private fun hello(): Hello = helloOf(settings.host, settings.role, incarnation)

    private fun failureLog() = CoroutineExceptionHandler { _, failure -> logger.error("uncaught failure", failure) }

    private fun status(): String =
        """{"role":"${settings.role.name.lowercase()}","host":"${settings.host.name}",""" +
            """"revision":${configuration?.revision?.number ?: 0},"targets":${targets.listed.size},""" +
            """"reachable":${fleet.reachable.size},"leaving":$isLeaving}"""

    private companion object {
        /** Datagrams tell who is there, so connections need few pings. */
        val WIRE_LIMITS =
            WireLimits(
                liveness =
                    LivenessSettings(
                        pingInterval = 1500.milliseconds,
                        silenceTimeout = 4.seconds,
                        pauseThreshold = 2.seconds,
                    ),
            )

        /** Bytes of the object API for each byte of a part, since values travel as text. */
        const val VALUE_OVERHEAD = 2
        val CONFIGURATION_TIMES = ViewTimes(wait = 1.seconds, pause = 50.milliseconds, patience = 1400.milliseconds)
        val TARGET_TIMES = ViewTimes(wait = 1.seconds, pause = 400.milliseconds, patience = 1000.milliseconds)
        val JOB_TIMES = ViewTimes(wait = 2.seconds, pause = 50.milliseconds, patience = 2500.milliseconds)
        val REMOVAL_TIMES = ViewTimes(wait = 2.seconds, pause = 500.milliseconds, patience = 3.seconds)
        val MEMBER_TIMES = ViewTimes(wait = 5.seconds, pause = 200.milliseconds, patience = 6.seconds)
        val START_WAIT = StartupGracePeriod(duration = Fleet.SILENCE)
        val LOOP_RETRY = 100.milliseconds
        val TICK = 200.milliseconds
        val JOB_REPORT_INTERVAL = 300.milliseconds

        /** Jobs whose backlog fits into one datagram. */
        const val JOBS_IN_A_REPORT = 30

        /** Time in which a balancer that asks every second misses two answers. */
        val BALANCER_NOTICE = 2500.milliseconds
        val STOP_MARGIN = 800.milliseconds
        val STOP_INTERVAL = 20.milliseconds
        val REMOVAL_RETRY = 300.milliseconds
        val logger = LoggerFactory.getLogger(DirectDaemon::class.java)
    }
}
