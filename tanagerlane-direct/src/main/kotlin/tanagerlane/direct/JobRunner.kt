package tanagerlane.direct

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.concurrency.receiveWithin
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ItemTimeEstimate
import tanagerlane.joblog.ItemUrgency
import tanagerlane.joblog.JobLog
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.message.JobBacklog
import tanagerlane.model.JobId
import tanagerlane.model.RequestClass
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.ServingConfiguration
import tanagerlane.serving.ServingRoute
import tanagerlane.store.StoreFailure
import tanagerlane.streams.AnswerBudget
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs the jobs that are assigned to this process, in the capacity that online requests leave free.
 *
 * @param headroom places at each target that items which are not pressing leave free for online requests
 * @param isQuarantined whether an item must not reach a target at present, because such prompts crash targets
 * @param progressSaver saves the received events of items on a local disk, or null if there is no disk
 * @param answerBudget budget for the unfinished answers of all items
 * @param configuration configuration in force, or null before the first one is known
 * @param isConfigurationCurrent whether the configuration is known to be the newest
 * @param isLeaving whether this process is giving up its jobs
 * @param knowsRunners whether the other runners are known; until then no job is taken, since it may be one of theirs
 * @param onLoadChanged called when the number of items that run at a target has changed
 */
internal class JobRunner(
    private val scope: CoroutineScope,
    private val fleet: Fleet,
    private val storage: JobStorage,
    private val jobIndex: JobIndex,
    private val loadBalancer: LoadBalancer,
    private val rules: TargetRules,
    private val headroom: Int,
    private val itemRunner: ItemRunner,
    private val isQuarantined: (RawItem) -> Boolean,
    private val progressSaver: ProgressSaver?,
    private val metrics: DirectMetrics,
    private val answerBudget: AnswerBudget,
    private val configuration: () -> ServingConfiguration?,
    private val isConfigurationCurrent: () -> Boolean,
    private val isLeaving: () -> Boolean,
    private val knowsRunners: () -> Boolean,
    private val now: () -> Instant,
    private val wallClock: () -> Instant,
    private val onLoadChanged: () -> Unit,
) {
    private val assignedJobs = HashMap<JobId, AssignedJob>()
    private val loadingJobs = HashSet<JobId>()
    private val passRequests = Channel<Unit>(Channel.CONFLATED)
    private var timeEstimate = ItemTimeEstimate()
    private var isDeleting = false

    /** Jobs that this process runs, including finished ones. */
    val jobs: Collection<AssignedJob> get() = assignedJobs.values

    /** Returns the state of [job], or null if this process does not run it. */
    fun assigned(job: JobId): AssignedJob? = assignedJobs[job]

    /** Whether this process runs and loads no job. */
    val isEmpty: Boolean get() = assignedJobs.isEmpty() && loadingJobs.isEmpty()

    /** Returns the remaining work of the jobs that run here; finished jobs are included for [FINISHED_REPORT_TIME]. */
    fun backlog(): List<JobBacklog> =
        assignedJobs
            .filterValues { state -> state.finishedAt?.let { now() - it <= FINISHED_REPORT_TIME } ?: true }
            .map { (job, state) -> JobBacklog(job, state.log.pendingTokens) }

    /** Requests a scheduling pass over all jobs; several requests may be merged into one pass. */
    fun requestSchedulingPass() {
        passRequests.trySend(Unit)
    }

    /** Adapts to a report of another process; a fleet sends about a hundred a second, and a pass looks at all jobs. */
    fun onPlacesReported() {
        preemptItems()
        if (assignedJobs.values.any { !it.log.isFinished }) {
            requestSchedulingPass()
        }
    }

    /** Runs scheduling passes until cancelled. */
    suspend fun run() {
        var lastPassAt = now()
        while (true) {
            passRequests.receiveWithin(PASS_INTERVAL)
            if (now() - lastPassAt > STALL_THRESHOLD) {
                logger.warn("process was paused for={}", now() - lastPassAt)
                assignedJobs.values.forEach { it.mayBeStale = true }
            }
            lastPassAt = now()
            runSchedulingPass()
            delay(PASS_DELAY)
        }
    }

    /** Stops batch items whose slots at a target are needed for online requests, the least urgent first. */
    private fun preemptItems() {
        for ((target, count) in loadBalancer.itemsToPreempt(now())) {
            val running =
                assignedJobs.values.flatMap { job ->
                    job.runs.values
                        .filter { it.target == target }
                        .map { RunningItem(it, urgencyOf(job, job.progress.getValue(it.item))) }
                }
            running.sortedByDescending { it.urgency }.take(count).forEach {
                metrics.yielded.increment()
                it.run.coroutine.cancel()
            }
        }
    }

    private fun urgencyOf(
        job: AssignedJob,
        progress: ItemProgress,
    ): ItemUrgency = ItemUrgency.of(job.log.record.dueAt, progress.eventCount, timeEstimate, wallClock())

    private fun runSchedulingPass() {
        loadNewJobs()
        releaseJobs()
        preemptItems()
        startItems()
        assignedJobs.values.toList().forEach(::listResults)
        deleteExpired()
    }

    /** Deletes an expired job, one at a time. */
    private fun deleteExpired() {
        if (isDeleting || isLeaving()) {
            return
        }
        val expiryLimit = wallClock() - EXPIRY_MARGIN
        val expired =
            assignedJobs.values.firstOrNull {
                it.log.isFinished && !it.isWriting && it.log.record.expiresAt < expiryLimit
            } ?: return
        isDeleting = true
        scope.launch {
            try {
                delete(expired.log.record)
            } finally {
                isDeleting = false
            }
        }
    }

    private suspend fun delete(record: JobRecord) {
        val failure = storage.delete(record).fold({ null }, { it })
        logger.info("job deleted job={} expired_at={} failure={}", record.job, record.expiresAt, failure)
        if (failure == null) {
            assignedJobs.remove(record.job)?.clearProgress()
        } else {
            delay(LOAD_RETRY_DELAY)
        }
    }

    private fun loadNewJobs() {
        if (isLeaving() || !knowsRunners()) {
            return
        }
        val runners = fleet.runners(includeOwn = true)
        for (record in jobIndex.open()) {
            val isAssignedHere = JobIndex.runnerOf(record.job, runners) == fleet.ownHost
            if (isAssignedHere && record.job !in assignedJobs && loadingJobs.add(record.job)) {
                scope.launch {
                    try {
                        load(record)
                    } finally {
                        loadingJobs.remove(record.job)
                    }
                }
            }
        }
    }

    private suspend fun load(record: JobRecord) {
        val items = storage.items(record).getOrElse { return loadFailed(record, it) }
        val pages = storage.pages(record.job).getOrElse { return loadFailed(record, it) }
        val log = JobLog(record, items).withAllPages(pages)
        logger.info("job taken job={} items={} listed={} pages={}", record.job, items.size, log.listed.size, log.pages)
        val state = AssignedJob(log, answerBudget)
        progressSaver?.restore(state)
        assignedJobs[record.job] = state
        markIfFinished(state)
        requestSchedulingPass()
    }

    private fun markIfFinished(job: AssignedJob) {
        if (job.log.isFinished && job.finishedAt == null) {
            job.finishedAt = now()
            jobIndex.markFinished(job.log.record.job)
        }
    }

    private suspend fun loadFailed(
        record: JobRecord,
        failure: StoreFailure,
    ) {
        logger.warn("job not read job={} cause={}", record.job, failure)
        delay(LOAD_RETRY_DELAY)
    }

    private fun releaseJobs() {
        val runners = fleet.runners(includeOwn = !isLeaving())
        for ((job, state) in assignedJobs.entries.toList()) {
            val isAssignedHere = JobIndex.runnerOf(job, runners) == fleet.ownHost
            if (job in jobIndex.endedJobs && !state.log.isEnded) {
                state.log = state.log.copy(isEnded = true)
                markIfFinished(state)
                stopRuns(state)
                state.clearProgress()
            }
            if (!isAssignedHere) {
                stopRuns(state)
            }
            val isIdle = !state.isWriting && state.runs.isEmpty()
            val isFlushed = state.unlisted.isEmpty() || state.log.isEnded
            if (isIdle && !isAssignedHere && isFlushed) {
                logger.info("job released job={} listed={} leaving={}", job, state.log.listed.size, isLeaving())
                assignedJobs.remove(job)?.clearProgress()
            }
        }
    }

    /** Stops all items; each run removes itself from [AssignedJob.runs] at once, so the runs are copied first. */
    private fun stopRuns(state: AssignedJob) {
        state.runs.values
            .toList()
            .forEach { it.coroutine.cancel() }
    }

    private fun startItems() {
        if (isLeaving()) {
            return
        }
        val startable =
            assignedJobs.values
                .filter { !it.log.isFinished && !it.mayBeStale && it.unlisted.size < MAXIMUM_UNLISTED_RESULTS }
                .flatMap { job ->
                    val items = job.startable(now()).filterNot { isQuarantined(it.item) }
                    items.map { StartableItem(job, it, urgencyOf(job, it)) }
                }.sortedBy { it.urgency }
        val placement = BatchPlacement(loadBalancer, rules, headroom)
        for (item in startable) {
            val route = routeFor(item.job, item.progress) ?: continue
            val workspace = configuration()?.workspaces?.get(item.job.log.record.workspace)
            val isPressing = item.urgency.isPressing(wallClock(), PRESSING_MARGIN)
            val target = placement.targetFor(item.progress, route, workspace, isPressing, now()) ?: continue
            start(item.job, item.progress, target) {
                placement.hasPlaceElsewhere(item.progress, route, workspace, target, now())
            }
        }
    }

    /** Returns the route of an item now, or null if there is none; abandons items of removed routes. */
    private fun routeFor(
        job: AssignedJob,
        progress: ItemProgress,
    ): ServingRoute? {
        val current = configuration() ?: return null
        val route = current.routeFor(job.log.record.routeHost, progress.item.path)
        if (route == null && isConfigurationCurrent()) {
            finish(job, progress, ItemEnd.ABANDONED, "route removed")
        }
        return route
    }

    private fun start(
        job: AssignedJob,
        progress: ItemProgress,
        target: DirectTarget,
        hasPlaceElsewhere: () -> Boolean,
    ) {
        val id = progress.item.id
        loadBalancer.started(target.name, RequestClass.BATCH)
        onLoadChanged()
        progress.continueAt(target.version)?.let { metrics.continuations(it).increment() }
        val eventsBefore = progress.eventCount
        val startedAt = now()
        val coroutine =
            scope.launch(start = CoroutineStart.LAZY) {
                var ending = ItemEnding.BROKEN
                try {
                    ending = itemRunner.run(job.log.record, progress, target, hasPlaceElsewhere)
                } catch (exception: CancellationException) {
                    ending = ItemEnding.STOPPED
                    throw exception
                } catch (exception: Exception) {
                    logger.warn("item failed item={} target={}", id, target.name, exception)
                } finally {
                    loadBalancer.ended(target.name, RequestClass.BATCH)
                    onLoadChanged()
                    job.runs.remove(id)
                    timeEstimate =
                        timeEstimate.withRun((progress.eventCount - eventsBefore).coerceAtLeast(0), now() - startedAt)
                    ended(job, progress, target, ending)
                }
            }
        job.runs[id] = AssignedJob.ItemRun(id, target.name, coroutine)
        coroutine.start()
    }

    private fun ended(
        job: AssignedJob,
        progress: ItemProgress,
        target: DirectTarget,
        ending: ItemEnding,
    ) {
        progress.runEnded(target.name, ending)
        when (ending) {
            ItemEnding.WHOLE -> {
                loadBalancer.succeeded(target.name)
                timeEstimate = timeEstimate.withItem(progress.eventCount)
                finish(job, progress, ItemEnd.COMPLETED, "whole")
            }

            ItemEnding.IMPOSSIBLE -> {
                finish(job, progress, ItemEnd.ABANDONED, "impossible")
            }

            ItemEnding.FAILED -> {
                loadBalancer.failed(target.name, now())
                recordFailure(job, progress)
            }

            // A target that completes nothing has the most free slots, and would attract items for as long as it fails.
            ItemEnding.NOT_RUN, ItemEnding.BROKEN -> {
                loadBalancer.failed(target.name, now())
                progress.notBefore = now() + RETRY_DELAY
            }

            ItemEnding.STOPPED -> {
                progress.notBefore = now() + RETRY_DELAY
            }
        }
        requestSchedulingPass()
    }

    private fun recordFailure(
        job: AssignedJob,
        progress: ItemProgress,
    ) {
        progress.notBefore = now() + FAILURE_DELAY
        if (progress.attempts.isExhausted(job.log.record.attempts)) {
            finish(job, progress, ItemEnd.ABANDONED, "attempts exhausted")
        }
    }

    private fun finish(
        job: AssignedJob,
        progress: ItemProgress,
        end: ItemEnd,
        cause: String,
    ) {
        val text = if (end == ItemEnd.COMPLETED) progress.text else ""
        job.unlisted[progress.item.id] = ListedResult(progress.item.id, end, text)
        logger.info(
            "item ended job={} item={} end={} cause={} events={}",
            job.log.record.job,
            progress.item.id,
            end,
            cause,
            progress.eventCount,
        )
        progress.completed()
    }

    /** Lists the results of finished items once [LIST_INTERVAL] has passed or all items of the job are finished. */
    private fun listResults(job: AssignedJob) {
        abandonOverdue(job)
        val isDue =
            now() - job.lastListedAt >= LIST_INTERVAL || job.unlisted.size + job.log.listed.size >= job.log.items.size
        val hasPage = isDue && job.unlisted.isNotEmpty() && !job.log.isEnded
        if (job.isWriting || !(hasPage || job.mayBeStale)) {
            return
        }
        job.isWriting = true
        scope.launch {
            try {
                if (job.mayBeStale) reloadPages(job) else appendPage(job)
            } finally {
                job.isWriting = false
                requestSchedulingPass()
            }
        }
    }

    private fun abandonOverdue(job: AssignedJob) {
        if (job.log.isFinished || !job.log.mayAbandon(wallClock())) {
            return
        }
        for (progress in job.startable(now())) {
            finish(job, progress, ItemEnd.ABANDONED, "retention expired")
        }
    }

    private suspend fun appendPage(job: AssignedJob) {
        val results = storage.firstPage(job.log.listable(job.unlisted.values))
        val failure = storage.append(job.log.record.job, job.log.pages, results).fold({ null }, { it })
        if (failure == null) {
            job.log = job.log.withPage(results)
            job.lastListedAt = now()
            job.forget(results.map { it.id })
            metrics.listed.increment(results.size.toDouble())
            markIfFinished(job)
            return
        }
        logger.warn("results not listed job={} page={} cause={}", job.log.record.job, job.log.pages, failure)
        // The object API has refused the page for good: no page was appended, and the next one is smaller.
        if (failure !is StoreFailure.TooLarge) {
            job.mayBeStale = true
        }
        delay(WRITE_RETRY_DELAY)
    }

    private suspend fun reloadPages(job: AssignedJob) {
        val record = job.log.record
        val pages =
            storage.pages(record.job).getOrElse { failure ->
                logger.warn("job log not read job={} cause={}", record.job, failure)
                delay(WRITE_RETRY_DELAY)
                return
            }
        job.log = job.log.withAllPages(pages)
        job.mayBeStale = false
        val listed = job.log.listed.mapTo(HashSet()) { it.id }
        job.forget(listed)
        listed.forEach { job.runs[it]?.coroutine?.cancel() }
        logger.info("log read again job={} pages={} listed={}", record.job, job.log.pages, job.log.listed.size)
    }

    private data class RunningItem(
        val run: AssignedJob.ItemRun,
        val urgency: ItemUrgency,
    )

    private data class StartableItem(
        val job: AssignedJob,
        val progress: ItemProgress,
        val urgency: ItemUrgency,
    )

    private companion object {
        /** Longest time between two scheduling passes if none is requested. */
        val PASS_INTERVAL = 100.milliseconds

        /** Shortest time between two scheduling passes. */
        val PASS_DELAY = 20.milliseconds

        /** Time without a scheduling pass after which other processes may have appended results of the jobs. */
        val STALL_THRESHOLD = 1000.milliseconds
        val LOAD_RETRY_DELAY = 300.milliseconds
        val WRITE_RETRY_DELAY = 200.milliseconds

        /** Time for which an item can wait without being late, below which it takes any free place. */
        val PRESSING_MARGIN = 9.seconds

        /** Time before an item is started again if its run was interrupted, stopped or not begun by the target. */
        val RETRY_DELAY = 20.milliseconds

        /** Time before an item is started again after the target answered with an error. */
        val FAILURE_DELAY = 100.milliseconds

        /** Time for which a finished job is still reported to the other processes. */
        val FINISHED_REPORT_TIME = 3.seconds

        /** Time by which the clocks of processes may differ. */
        val EXPIRY_MARGIN = 10.seconds

        /** Time in which the results of finished items are collected before they are listed together. */
        val LIST_INTERVAL = 400.milliseconds

        /** Number of unlisted results of a job from which no further items of the job are started. */
        const val MAXIMUM_UNLISTED_RESULTS = 64
        val logger = LoggerFactory.getLogger(JobRunner::class.java)
    }
}
