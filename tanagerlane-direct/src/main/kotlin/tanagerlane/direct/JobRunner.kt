package tanagerlane.direct

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ItemTimeEstimate
import tanagerlane.joblog.ItemUrgency
import tanagerlane.joblog.JobLog
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.message.JobBacklog
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import tanagerlane.model.RequestClass
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.ServingConfiguration
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs the jobs whose home this process is, in the places that callers leave.
 *
 * @param progressSaver keeps what has come of items on a local disk, or null where there is none
 * @param configuration configuration in force, or null before the first
 * @param isConfigurationCurrent whether the configuration is known to be the newest
 * @param isLeaving whether this process gives up its jobs
 * @param knowsRunners whether the other runners are known, so that jobs of theirs are not taken
 */
internal class JobRunner(
    private val scope: CoroutineScope,
    private val fleet: Fleet,
    private val storage: JobStorage,
    private val jobIndex: JobIndex,
    private val loadBalancer: LoadBalancer,
    private val itemRunner: ItemRunner,
    private val progressSaver: ProgressSaver?,
    private val metrics: DirectMetrics,
    private val configuration: () -> ServingConfiguration?,
    private val isConfigurationCurrent: () -> Boolean,
    private val isLeaving: () -> Boolean,
    private val knowsRunners: () -> Boolean,
    private val now: () -> Instant,
    private val wallClock: () -> Instant,
    private val onLoadChanged: () -> Unit,
) {
    private val held = HashMap<JobId, AssignedJob>()
    private val loading = HashSet<JobId>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var pace = ItemTimeEstimate()

    private var isDeleting = false

    /** Jobs that this process runs, finished ones included. */
    val jobs: Collection<AssignedJob> get() = held.values

    /** Whether no job is left here. */
    val isEmpty: Boolean get() = held.isEmpty() && loading.isEmpty()

    /** Returns what is left of the jobs that this process runs; finished ones are told for a while. */
    fun backlog(): List<JobBacklog> =
        held
            .filterValues { state -> state.finishedAt?.let { now() - it <= FINISHED_REPORT_TIME } ?: true }
            .map { (job, state) -> JobBacklog(job, state.log.pendingTokens) }

    /** Looks at all jobs soon. */
    fun requestSchedulingPass() {
        wakeUps.trySend(Unit)
    }

    suspend fun run() {
        var lookedAt = now()
        while (true) {
            withTimeoutOrNull(LOOK_INTERVAL) { wakeUps.receive() }
            if (now() - lookedAt > PAUSE_BOUND) {
                logger.warn("process was paused for={}", now() - lookedAt)
                held.values.forEach { it.isDoubtful = true }
            }
            lookedAt = now()
            look()
            delay(LOOK_PAUSE)
        }
    }

    /** Stops batch items where callers have taken their places, the least urgent first. */
    fun preemptItems() {
        for ((target, count) in loadBalancer.itemsToPreempt(now())) {
            val running =
                held.values.flatMap { job ->
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
    ): ItemUrgency = ItemUrgency.of(job.log.record.dueAt, progress.events, pace, wallClock())

    /** Answers a process that asks for results. */
    fun answer(
        from: HostName,
        query: ResultsQuery,
    ) {
        scope.launch {
            withTimeoutOrNull(query.wait) { while (!hasNews(query)) held[query.job]?.news?.await() }
            val reply =
                held[query.job]
                    ?.takeIf { !it.isDoubtful && !isLeaving() }
                    ?.log
                    ?.listed
                    ?.drop(query.after)
            fleet.send(from, ResultsReply(query.query, reply?.takeWithinBytes(MAXIMUM_REPLY_BYTES)))
        }
    }

    private fun hasNews(query: ResultsQuery): Boolean {
        val log = held[query.job]?.log ?: return true
        return log.listed.size > query.after || log.isFinished
    }

    private fun look() {
        adopt()
        release()
        preemptItems()
        startItems()
        held.values.toList().forEach(::listResults)
        deleteExpired()
    }

    /** Deletes a job whose results need not be readable any longer, one at a time. */
    private fun deleteExpired() {
        if (isDeleting || isLeaving()) {
            return
        }
        val latest = wallClock() - EXPIRY_MARGIN
        val expired =
            held.values.firstOrNull { it.log.isFinished && !it.isWriting && it.log.record.expiresAt < latest } ?: return
        isDeleting = true
        scope.launch {
            try {
                delete(expired.log.record)
            } finally {
                isDeleting = false
            }
        }
    }

    private suspend fun delete(card: JobRecord) {
        val failure = storage.delete(card).fold({ null }, { it })
        logger.info("job deleted job={} expired_at={} failure={}", card.job, card.expiresAt, failure)
        if (failure == null) {
            held.remove(card.job)
        } else {
            delay(LOAD_RETRY)
        }
    }

    private fun adopt() {
        if (isLeaving() || !knowsRunners()) {
            return
        }
        val runners = fleet.runners(includeOwn = true)
        for (card in jobIndex.open()) {
            val isHome = JobIndex.runnerOf(card.job, runners) == fleet.ownHost
            if (isHome && card.job !in held && loading.add(card.job)) {
                scope.launch {
                    try {
                        load(card)
                    } finally {
                        loading.remove(card.job)
                    }
                }
            }
        }
    }

    private suspend fun load(card: JobRecord) {
        val items = storage.items(card).getOrElse { return loadFailed(card, it) }
        val pages = storage.pages(card.job).getOrElse { return loadFailed(card, it) }
        val log = JobLog(card, items).withAllPages(pages)
        logger.info("job taken job={} items={} listed={} pages={}", card.job, items.size, log.listed.size, log.pages)
        val state = AssignedJob(log)
        progressSaver?.restore(state)
        held[card.job] = state
        noteIfFinished(state)
        requestSchedulingPass()
    }

    private fun noteIfFinished(job: AssignedJob) {
        if (job.log.isFinished && job.finishedAt == null) {
            job.finishedAt = now()
            jobIndex.markFinished(job.log.record.job)
        }
    }

    private suspend fun loadFailed(
        card: JobRecord,
        failure: StoreFailure,
    ) {
        logger.warn("job not read job={} cause={}", card.job, failure)
        delay(LOAD_RETRY)
    }

    private fun release() {
        val runners = fleet.runners(includeOwn = !isLeaving())
        for ((job, state) in held.entries.toList()) {
            val isHome = JobIndex.runnerOf(job, runners) == fleet.ownHost
            if (job in jobIndex.ended && !state.log.isEnded) {
                state.log = state.log.copy(isEnded = true)
                noteIfFinished(state)
                stopRuns(state)
            }
            if (!isHome) {
                stopRuns(state)
            }
            val isIdle = !state.isWriting && state.runs.isEmpty()
            val isFlushed = state.finished.isEmpty() || state.log.isEnded
            if (isIdle && !isHome && isFlushed) {
                logger.info("job released job={} listed={} leaving={}", job, state.log.listed.size, isLeaving())
                held.remove(job)
            }
        }
    }

    /** Stops all items; each one leaves the runs at once, so they are copied first. */
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
            held.values
                .filter { !it.log.isFinished && !it.isDoubtful && it.finished.size < MAXIMUM_UNLISTED }
                .flatMap { job -> job.startable(now()).map { StartableItem(job, it, urgencyOf(job, it)) } }
                .sortedBy { it.urgency }
        val full = HashSet<ServiceName>()
        for (item in startable) {
            val service = serviceFor(item.job, item.progress) ?: continue
            if (service in full) {
                continue
            }
            val target = loadBalancer.placeBatch(service, now())
            if (target == null) full += service else start(item.job, item.progress, target)
        }
    }

    /** Returns the service that runs an item now, or null when there is none. */
    private fun serviceFor(
        job: AssignedJob,
        progress: ItemProgress,
    ): ServiceName? {
        val current = configuration() ?: return null
        val route = current.routeFor(job.log.record.routeHost, progress.item.path)
        if (route == null && isConfigurationCurrent()) {
            finish(job, progress, ItemEnd.ABANDONED, "route removed")
        }
        return route?.serviceFor(progress.item.id)
    }

    private fun start(
        job: AssignedJob,
        progress: ItemProgress,
        target: DirectTarget,
    ) {
        val id = progress.item.id
        loadBalancer.started(target.name, RequestClass.BATCH)
        onLoadChanged()
        val eventsBefore = progress.events
        val startedAt = now()
        val coroutine =
            scope.launch(start = CoroutineStart.LAZY) {
                var ending = ItemEnding.BROKEN
                try {
                    ending = itemRunner.run(job.log.record, progress, target)
                } catch (exception: CancellationException) {
                    ending = ItemEnding.STOPPED
                    throw exception
                } catch (exception: Exception) {
                    logger.warn("item failed item={} target={}", id, target.name, exception)
                } finally {
                    loadBalancer.ended(target.name, RequestClass.BATCH)
                    onLoadChanged()
                    job.runs.remove(id)
                    pace = pace.withRun(progress.events - eventsBefore, now() - startedAt)
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
        when (ending) {
            ItemEnding.WHOLE -> {
                loadBalancer.succeeded(target.name)
                pace = pace.withItem(progress.events)
                finish(job, progress, ItemEnd.COMPLETED, "whole")
            }

            ItemEnding.IMPOSSIBLE -> {
                finish(job, progress, ItemEnd.ABANDONED, "impossible")
            }

            ItemEnding.FAILED -> {
                loadBalancer.failed(target.name, now())
                noteFailure(job, progress)
            }

            // A target that gets nothing done has the most free places, and would draw items for as long as it fails.
            ItemEnding.NOT_RUN, ItemEnding.BROKEN -> {
                loadBalancer.failed(target.name, now())
                progress.notBefore = now() + RETRY_PAUSE
            }

            ItemEnding.STOPPED -> {
                progress.notBefore = now() + RETRY_PAUSE
            }
        }
        requestSchedulingPass()
    }

    private fun noteFailure(
        job: AssignedJob,
        progress: ItemProgress,
    ) {
        progress.attempts = progress.attempts.copy(failures = progress.attempts.failures + 1)
        progress.notBefore = now() + FAILURE_PAUSE
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
        job.finished[progress.item.id] = ListedResult(progress.item.id, end, text)
        logger.info(
            "item ended job={} item={} end={} cause={} events={}",
            job.log.record.job,
            progress.item.id,
            end,
            cause,
            progress.events,
        )
    }

    /** Lists finished items once enough have gathered or enough time has passed. */
    private fun listResults(job: AssignedJob) {
        abandonOverdue(job)
        val isDue =
            now() - job.listedAt >= LIST_INTERVAL || job.finished.size + job.log.listed.size >= job.log.items.size
        if (job.isWriting || job.log.isEnded || (!job.isDoubtful && (job.finished.isEmpty() || !isDue))) {
            return
        }
        job.isWriting = true
        scope.launch {
            try {
                if (job.isDoubtful) reread(job) else write(job)
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
            finish(job, progress, ItemEnd.ABANDONED, "retention over")
        }
    }

    private suspend fun write(job: AssignedJob) {
        val results = job.log.listable(job.finished.values).takeWithinBytes(MAXIMUM_PAGE_BYTES)
        val failure = storage.append(job.log.record.job, job.log.pages, results).fold({ null }, { it })
        if (failure == null) {
            job.log = job.log.withPage(results)
            job.listedAt = now()
            results.forEach { job.finished.remove(it.id) }
            metrics.listed.increment(results.size.toDouble())
            noteIfFinished(job)
            return
        }
        logger.warn("results not listed job={} page={} cause={}", job.log.record.job, job.log.pages, failure)
        job.isDoubtful = true
        delay(WRITE_RETRY)
    }

    private suspend fun reread(job: AssignedJob) {
        val card = job.log.record
        val pages =
            storage.pages(card.job).getOrElse { failure ->
                logger.warn("log not read job={} cause={}", card.job, failure)
                delay(WRITE_RETRY)
                return
            }
        job.log = job.log.withAllPages(pages)
        job.isDoubtful = false
        val listed = job.log.listed.mapTo(HashSet()) { it.id }
        job.finished.keys.removeAll(listed)
        listed.forEach { job.runs[it]?.coroutine?.cancel() }
        logger.info("log read again job={} pages={} listed={}", card.job, job.log.pages, job.log.listed.size)
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
        val LOOK_INTERVAL = 100.milliseconds
        val LOOK_PAUSE = 20.milliseconds
        val PAUSE_BOUND = 1000.milliseconds
        val LOAD_RETRY = 300.milliseconds
        val WRITE_RETRY = 200.milliseconds
        val RETRY_PAUSE = 20.milliseconds
        val FAILURE_PAUSE = 100.milliseconds

        /** Time for which others are told that a job is finished. */
        val FINISHED_REPORT_TIME = 3.seconds

        /** Time by which clocks of processes may differ. */
        val EXPIRY_MARGIN = 10.seconds

        /** Time in which finished items gather before they are listed. */
        val LIST_INTERVAL = 400.milliseconds

        /** Finished items of a job that may wait to be listed before no further one is started. */
        const val MAXIMUM_UNLISTED = 64
        const val MAXIMUM_PAGE_BYTES = 500_000
        const val MAXIMUM_REPLY_BYTES = 700_000
        val logger = LoggerFactory.getLogger(JobRunner::class.java)
    }
}
