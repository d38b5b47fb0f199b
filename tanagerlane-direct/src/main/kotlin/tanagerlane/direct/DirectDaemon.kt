package tanagerlane.direct

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
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
import tanagerlane.admission.WaitingRequests
import tanagerlane.attempts.LivenessSettings
import tanagerlane.evacuation.HomeRegions
import tanagerlane.joblog.RawItem
import tanagerlane.limits.SharedRates
import tanagerlane.membership.Member
import tanagerlane.membership.StartupGracePeriod
import tanagerlane.membership.StopPlan
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.JobReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.quarantine.PromptQuarantine
import tanagerlane.runtime.MonotonicClock
import tanagerlane.runtime.OperatorServer
import tanagerlane.runtime.StoreCall
import tanagerlane.serving.ProcessorDelay
import tanagerlane.serving.ServingConfiguration
import tanagerlane.settings.DirectSettings
import tanagerlane.streams.AnswerBudget
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
 * A process that calls targets directly: an entry that serves callers, or a runner of batch jobs.
 *
 * @param createDeployment creates the deployment; its parameter counts a call of the object API and must be called for
 *   each of them
 */
public class DirectDaemon(
    private val settings: DirectSettings,
    createDeployment: (countCall: (StoreCall) -> Unit) -> Deployment,
    private val vertx: Vertx,
) {
    private val clock = MonotonicClock()
    private val startedAt = clock.now()
    private val incarnation = Incarnation(Clock.System.now().toEpochMilliseconds())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = DirectMetrics(registry)
    private val deployment = createDeployment { metrics.storeCalls(it).increment() }
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher() + uncaughtExceptionHandler())
    private val loops = RestartingLoops(scope)
    private val endpoint = WireEndpoint(hello(), scope, WIRE_LIMITS, clock::now)
    private val fleet: Fleet =
        Fleet(vertx, hello(), scope, endpoint, clock::now, { from, message -> peerMessages.receive(from, message) }) {
            runner.requestSchedulingPass()
        }
    private val pace =
        FleetPace(settings, startedAt, { fleet.members }, { configuration?.services?.get(it) }, clock::now)
    private val loadBalancer = pace.loadBalancer
    private val waiting = WaitingRequests()
    private val rates = SharedRates()
    private val headers = RequestHeaders(deployment.headers)
    private val answerBudget =
        AnswerBudget(settings.answerBudgetBytes ?: (Runtime.getRuntime().maxMemory() / HEAP_PER_ANSWER_BUDGET))
    private val targetClient = TargetClient(vertx, deployment.headers.requestId, clock::now, answerBudget)
    private val quarantine = PromptQuarantine(settings.host.name, incarnation)
    private val promptGuard = PromptGuard(quarantine, fleet, targetClient, scope, metrics, clock::now)
    private val storeRelay = StoreRelay(deployment.store, scope, { fleet.relayCandidates }, fleet::send, clock::now)
    private val storage = JobStorage(storeRelay, settings.maximumValueBytes / VALUE_OVERHEAD)
    private val jobIndex = JobIndex(storage)
    private val resultsClient = ResultsClient(fleet::send)
    private val resumption = StreamResumption(fleet, metrics, deployment.targets, { targetSynchronizer }, clock::now)
    private val membership = Membership(deployment.store, fleet, clock::now, resumption::assumeNewDeployment)
    private val decodedConfigurations = DecodedObjects(deployment.configuration)
    private val homeRegions = HomeRegions(settings.domainRegions.associate { it.failureDomain to it.region })
    private val evacuations =
        settings.evacuationBound?.let { bound ->
            val domains = homeRegions.regions.keys + settings.host.failureDomain
            EvacuationDirectory(deployment.evacuations, bound, domains, clock::now)
        }
    private val targetRules = TargetRules(homeRegions, evacuations, resumption::mayContinue, resumption::isBound)
    private val targets =
        TargetDirectory(deployment.targets, loadBalancer, targetClient, evacuations, resumption, clock::now)
    private var configuration: ServingConfiguration? = null
    private var isLeaving = false
    private var stopPlan: StopPlan? = null
    private var registration: Job? = null
    private val processorDelay = ProcessorDelay(DELAY_CHECK_INTERVAL)
    private val placeReports =
        PlaceReports(fleet, incarnation, loadBalancer, rates, clock::now, { isLeaving }, { fleet.entries }, waiting)

    private val hostDrain: HostDrain =
        HostDrain(
            host = settings.host.name,
            deployment = deployment,
            scope = scope,
            isLeaving = { isLeaving },
            startLeaving = ::startLeaving,
            hasWork = { !runner.isEmpty || storeRelay.isRelaying },
        )

    private val configurationSynchronizer =
        synchronizer(deployment.configuration.kind, ViewTimes.CONFIGURATION, ::applyConfiguration)
    private val targetSynchronizer: ViewSynchronizer =
        synchronizer(deployment.targets.kind, ViewTimes.TARGETS, targets::update)
    private val jobSynchronizer = synchronizer(JobStorage.JOBS_KIND, ViewTimes.JOBS, ::applyJobs)
    private val memberSynchronizer = synchronizer(Membership.KIND, ViewTimes.MEMBERS, membership::update)
    private val removalSynchronizer = synchronizer(deployment.removals.kind, ViewTimes.REMOVALS, hostDrain::update)
    private val evacuationSynchronizer: ViewSynchronizer? =
        settings.evacuationBound?.let {
            synchronizer(deployment.evacuations.kind, ViewTimes.evacuations(it), ::applyEvacuations)
        }
    private val synchronizers =
        listOfNotNull(
            configurationSynchronizer,
            targetSynchronizer,
            jobSynchronizer,
            memberSynchronizer,
            removalSynchronizer,
            evacuationSynchronizer,
        ).associateBy { it.view.kind }

    private val progressSaver =
        settings.host.dataFolder?.let { folder ->
            ProgressSaver(vertx, ProgressFile(Path.of(folder), incarnation), Clock.System::now)
        }
    private val runner: JobRunner =
        JobRunner(
            scope = scope,
            fleet = fleet,
            storage = storage,
            jobIndex = jobIndex,
            loadBalancer = loadBalancer,
            rules = targetRules,
            headroom = settings.batchHeadroom,
            itemRunner =
                ItemRunner(
                    targetClient,
                    headers,
                    deployment.headers,
                    onAnswered = { item, target, latency ->
                        promptGuard.answered(sharedParts(item))
                        loadBalancer.pace { answered(target.name, latency, clock.now()) }
                    },
                    onLost = { item, target, hasBegun ->
                        promptGuard.lost(target, item.id.text, sharedParts(item), hasBegun)
                    },
                ),
            isQuarantined = { promptGuard.findQuarantined(sharedParts(it)) != null },
            progressSaver = progressSaver,
            metrics = metrics,
            answerBudget = answerBudget,
            configuration = { configuration },
            isConfigurationCurrent = ::isCurrent,
            isLeaving = { isLeaving },
            knowsRunners = ::knowsRunners,
            now = clock::now,
            wallClock = Clock.System::now,
            onLoadChanged = placeReports::requestReport,
        )
    private val resultQueries =
        ResultQueries(scope, fleet, storage, runner::assigned, { isLeaving }, runner::requestSchedulingPass)
    private val answerForwarder =
        AnswerForwarder(loadBalancer, deployment.headers, promptGuard, resumption, metrics, clock::now) {
            processorDelay.at(clock.now())
        }
    private val onlineHandler =
        OnlineHandler(
            loadBalancer,
            onlinePlaces(),
            targetClient,
            headers,
            answerForwarder,
            promptGuard,
            resumption,
            metrics,
            clock::now,
        )
    private val jobHandler =
        JobCallHandler(
            fleet = fleet,
            storage = storage,
            jobIndex = jobIndex,
            resultsClient = resultsClient,
            bodyFormat = deployment.jobs,
            resultTime = settings.resultTime,
            now = clock::now,
            wallClock = Clock.System::now,
        )
    private val callerService =
        CallerService(
            connections = CallerConnections.of(vertx, settings, registry, { configuration?.limits }, clock::now),
            scope = scope,
            deployment = deployment,
            online = onlineHandler,
            promptGuard = promptGuard,
            jobs = jobHandler,
            jobLookup = JobLookup(storage, jobIndex, Clock.System::now),
            rates = rates,
            metrics = metrics,
            state =
                ProcessState(
                    configuration = ::callersConfiguration,
                    isCurrent = ::isCurrent,
                    entries = { fleet.entries },
                    isReady = {
                        !isLeaving && callersConfiguration() != null && targets.size > 0 && targetRules.areKnown
                    },
                    isStopping = { isLeaving },
                    acceptsRequests = { stopPlan?.acceptsRequests(clock.now()) ?: true },
                    processorDelay = { processorDelay.at(clock.now()) },
                ),
            now = clock::now,
        )
    private val peerMessages =
        PeerMessages(
            placeReports = placeReports,
            promptGuard = promptGuard,
            resumption = resumption,
            jobIndex = jobIndex,
            synchronizers = synchronizers,
            resultQueries = resultQueries,
            resultsClient = resultsClient,
            storeRelay = storeRelay,
            onPlacesReported = { if (isRunner) runner.onPlacesReported() },
        )
    private val status =
        DaemonStatus(
            settings = settings,
            revision = { configuration?.revision?.number ?: 0 },
            targets = targets,
            fleet = fleet,
            isLeaving = { isLeaving },
            waiting = waiting::size,
            further = { ",${callerService.status}${pace.status()}" },
            evacuations = { evacuations?.inForce?.ages(clock.now()) },
        )
    private val operatorServer = OperatorServer(vertx, registry, ready = { !isLeaving }, status = status::text)

    private val isRunner: Boolean get() = settings.role == HostRole.BATCH

    /** Time for load balancers to notice a stop; runners serve no callers, so they need none. */
    private val noticePeriod: Duration get() = if (isRunner) Duration.ZERO else BALANCER_NOTICE_PERIOD

    init {
        metrics.observe(answerBudget)
        evacuations?.let(metrics::observe)
        metrics.observe(pace)
    }

    /** Starts to serve; returns the address at which other processes connect, or why it could not be bound. */
    public suspend fun start(): Result<WireAddress, WireFault> =
        withContext(scope.coroutineContext) {
            val address = WireAddress(settings.host.address, settings.host.wirePort)
            fleet.listen(address)
            endpoint.listen(address, fleet::serve).map { bound ->
                settings.callerAddress?.let { callerService.listen(it, settings.readyAddress) }
                launchLoops(bound)
                operatorServer.start(settings.host.address, settings.host.operatorPort)
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
     * Stops after the open requests have ended, or at the latest when the stop time runs out.
     *
     * New requests are accepted during the notice period only; callers may send them without a pause.
     *
     * @param late time since the signal to stop; the event loop of a busy process may get to the stop still later
     */
    public suspend fun drainAndStop(late: Duration = Duration.ZERO) {
        val plan = StopPlan(clock.now() - late, noticePeriod, settings.stopTime, STOP_RESERVE)
        withContext(scope.coroutineContext) {
            stopPlan = plan
            logger.info("stopping open_requests={} late={}", callerService.openRequests, clock.now() - plan.requestedAt)
            startLeaving()
            finishOpenWork(plan)
            storeRelay.close()
            logger.info(
                "closing connections open_requests={} jobs_released={}",
                callerService.openRequests,
                runner.isEmpty,
            )
            callerService.endAll()
            withTimeoutOrNull(STOP_RESERVE / 2) {
                // The registration loop would register this process again as soon as it sees the removal.
                registration?.cancelAndJoin()
                membership.deregister()
            }
            logger.info("stopped")
        }
    }

    /** Waits until [plan] is over, and closes connections of callers when they become idle. */
    private suspend fun finishOpenWork(plan: StopPlan) {
        while (true) {
            if (!plan.acceptsRequests(clock.now())) {
                callerService.closeIdleConnections()
            }
            if (plan.isOver(clock.now(), hasOpenWork())) {
                return
            }
            delay(STOP_CHECK_INTERVAL)
        }
    }

    /** Whether there is work to finish before this process exits; a connection closes after its last answer is sent. */
    private fun hasOpenWork(): Boolean = callerService.hasOpenRequests || !runner.isEmpty || storeRelay.isRelaying

    private fun launchLoops(bound: WireAddress) {
        synchronizers.values.forEach { synchronizer ->
            loops.launch("view of ${synchronizer.view.kind}", synchronizer::run)
        }
        registration = loops.launch("membership") { membership.run(memberOf(bound)) }
        loops.launch("reports", placeReports::run)
        loops.launch("crash reports", promptGuard::run)
        loops.launch("versions", resumption::learnVersions)
        loops.launch("ticks", ::tickLoop)
        if (!isRunner) {
            loops.launch("processor delay") { processorDelay.run(DELAY_CHECK_INTERVAL, clock::now) }
        }
        if (isRunner) {
            loops.launch("jobs", runner::run)
            loops.launch("job reports", ::jobReportLoop)
            progressSaver?.let { loops.launch("progress") { it.run(runner::jobs) } }
        }
    }

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK_INTERVAL)
            fleet.detectLostPeers()
            targets.expire()
            pace.update()
        }
    }

    /** Reports periodically the backlog of the jobs that this process runs. */
    private suspend fun jobReportLoop() {
        while (true) {
            delay(JOB_REPORT_INTERVAL)
            runner.backlog().chunked(JOBS_PER_REPORT).forEach { fleet.broadcast(JobReport(fleet.ownHost, it)) }
        }
    }

    private fun applyConfiguration(view: ObjectView) {
        val decoded = decodedConfigurations.decode(view)
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
        resumption.configure(newest)
        rates.configure(
            newest.workspaces
                .mapNotNull { (name, workspace) ->
                    workspace.rate?.let { name to it }
                }.toMap(),
            clock.now(),
        )
        runner.requestSchedulingPass()
    }

    private fun applyJobs(view: ObjectView) {
        jobIndex.update(view)
        runner.requestSchedulingPass()
    }

    private fun applyEvacuations(view: ObjectView) {
        evacuations?.update(view, evacuationSynchronizer?.age() ?: Duration.ZERO)
        targets.expire()
        runner.requestSchedulingPass()
    }

    /** Stops accepting new work, and reports this to the other processes. */
    private fun startLeaving() {
        isLeaving = true
        runner.requestSchedulingPass()
        placeReports.requestReport()
    }

    private fun synchronizer(
        kind: String,
        times: ViewTimes,
        onChange: (ObjectView) -> Unit,
    ) = ViewSynchronizer(kind, deployment.store, fleet, times, clock::now, onChange)

    /** Configuration for serving callers; null until the other entries, which share the rates, are known. */
    private fun callersConfiguration(): ServingConfiguration? =
        configuration.takeIf { memberSynchronizer.view.isComplete }

    /** Whether the configuration was confirmed to be the latest within the configuration bound of the settings. */
    private fun isCurrent(): Boolean =
        configurationSynchronizer.age()?.let { it <= settings.configurationBound } ?: false

    /** Whether a message was received from each registered runner, or the grace period since the start has passed. */
    private fun knowsRunners(): Boolean {
        val members = fleet.members.takeIf { memberSynchronizer.view.isComplete }
        return STARTUP_GRACE_PERIOD.isOver(members, HostRole.BATCH, fleet.unreachable, clock.now() - startedAt)
    }

    private fun sharedParts(item: RawItem): List<PromptPart> =
        item.headers
            .firstOrNull { it.name.equals(deployment.headers.promptParts, ignoreCase = true) }
            ?.let { deployment.sharedParts(it.value) }
            .orEmpty()

    private fun memberOf(bound: WireAddress): Member =
        Member(
            host = settings.host.name,
            role = settings.role,
            incarnation = incarnation,
            failureDomain = settings.host.failureDomain,
            address = bound.toString(),
        )

    private fun onlinePlaces() =
        OnlinePlaces(
            loadBalancer,
            targetRules,
            waiting.takeIf { settings.waiting },
            placeReports,
            scope,
            metrics,
            clock::now,
        )

    private fun hello(): Hello = helloOf(settings.host, settings.role, incarnation)

    private fun uncaughtExceptionHandler() =
        CoroutineExceptionHandler { _, exception -> logger.error("uncaught exception", exception) }

    private companion object {
        /** Datagrams show which processes are reachable, so connections need few pings. */
        val WIRE_LIMITS =
            WireLimits(
                liveness =
                    LivenessSettings(
                        pingInterval = 1500.milliseconds,
                        silenceTimeout = 4.seconds,
                        pauseThreshold = 2.seconds,
                    ),
            )

        /** Bytes in the object API for each byte of a part of a job, because values are transferred as text. */
        const val VALUE_OVERHEAD = 2

        /** Size of the heap as a multiple of the default budget for unfinished answers, which are copied in places. */
        const val HEAP_PER_ANSWER_BUDGET = 8
        val STARTUP_GRACE_PERIOD = StartupGracePeriod(duration = Fleet.SILENCE_TIMEOUT)
        val TICK_INTERVAL = 200.milliseconds
        val DELAY_CHECK_INTERVAL = 50.milliseconds
        val JOB_REPORT_INTERVAL = 300.milliseconds

        /** Number of jobs whose backlogs fit into one datagram. */
        const val JOBS_PER_REPORT = 30

        /** Time in which two readiness checks of a load balancer that checks every second fail. */
        val BALANCER_NOTICE_PERIOD = 2500.milliseconds

        /** Part of the stop time that is kept for the work after the last answer. */
        val STOP_RESERVE = 800.milliseconds
        val STOP_CHECK_INTERVAL = 20.milliseconds
        val logger = LoggerFactory.getLogger(DirectDaemon::class.java)
    }
}
