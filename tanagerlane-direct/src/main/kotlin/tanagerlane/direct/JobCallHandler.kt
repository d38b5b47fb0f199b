package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import tanagerlane.serving.JobOwnership
import tanagerlane.serving.JobTerms
import tanagerlane.serving.ServingRoute
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Handles the calls of callers about jobs.
 *
 * @param resultTime time after its submission for which a job stays readable
 */
internal class JobCallHandler(
    private val fleet: Fleet,
    private val storage: JobStorage,
    private val jobIndex: JobIndex,
    private val resultsClient: ResultsClient,
    private val bodyFormat: JobBodyFormat,
    private val resultTime: Duration,
    private val now: () -> Instant,
    private val wallClock: () -> Instant,
) {
    /** Accepts or refuses a job that was submitted on [route]; [workspace] owns it, or nobody if that is null. */
    suspend fun submit(
        exchange: CallerExchange,
        route: ServingRoute,
        terms: JobTerms,
        workspace: WorkspaceName?,
    ) {
        val job = exchange.id?.text?.let(::jobIdOf) ?: return exchange.refuse(notRun(RefusalReason.MALFORMED))
        val body = exchange.body().getOrElse { return exchange.refuse(notRun(it), RETRY_AFTER) }
        val items =
            bodyFormat.items(Payload.of(body.bytes)).getOrElse { fault ->
                logger.info("submission refused job={} reason=malformed cause={}", job, fault.reason)
                return exchange.refuse(notRun(RefusalReason.MALFORMED))
            }
        // Completes even if the caller gets no answer: a caller that submits the job again then finds it accepted.
        val outcome =
            withContext(NonCancellable) {
                val accepted = async { accept(newRecord(job, route, terms, workspace, items), items, terms) }
                withTimeoutOrNull(maxOf(exchange.deadline(route.timeout) - now(), MINIMUM_ACCEPTANCE_TIME)) {
                    accepted.join()
                } ?: exchange.refuse(unknown(RefusalReason.DEADLINE_EXCEEDED))
                accepted.await()
            }
        outcome.fold(
            success = { exchange.answer(ACCEPTED, NO_HEADERS, Buffer.buffer()) },
            failure = { exchange.refuse(it, RETRY_AFTER) },
        )
        logger.info(
            "submission decided job={} workspace={} items={} outcome={}",
            job,
            workspace,
            items.size,
            outcome.fold({ "accepted" }, { it.toString() }),
        )
    }

    /** Handles [call], which is about the job of [record]. */
    suspend fun serve(
        exchange: CallerExchange,
        call: CallerCall.JobCall,
        record: JobRecord,
    ): Unit =
        when (call) {
            is CallerCall.ReadResults -> readResults(exchange, record, call.after)
            is CallerCall.ReadItem -> readItem(exchange, record, call.item)
            is CallerCall.EndJob -> end(exchange, record.job)
        }

    /** Answers with the results of a job from position [after] on. */
    private suspend fun readResults(
        exchange: CallerExchange,
        record: JobRecord,
        after: Int,
    ) {
        val isAnswered =
            withTimeoutOrNull(exchange.readDeadline() - now()) { answerResults(exchange, record, after) }
        if (isAnswered == null) {
            logger.warn("results not read job={} cause=not known in time wait={}", record.job, exchange.wait)
            exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
        }
    }

    private suspend fun answerResults(
        exchange: CallerExchange,
        record: JobRecord,
        after: Int,
    ) {
        val listed =
            resultsAfter(exchange, record.job, after)
                ?: return exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
        val page = listed.takeWithinBytes(MAXIMUM_RESULTS_BYTES, bodyFormat.resultBytes)
        val document = bodyFormat.results(record.items, after + page.size, page)
        exchange.answerJson(OK, Buffer.buffer(document.toByteArray()))
    }

    /** Answers with the request body of [item]. */
    private suspend fun readItem(
        exchange: CallerExchange,
        record: JobRecord,
        item: RequestId,
    ) {
        val read = withTimeoutOrNull(exchange.readDeadline() - now()) { storage.items(record) }
        val items =
            (read ?: Err(NOT_IN_TIME)).getOrElse { failure ->
                logger.warn("items not read job={} cause={}", record.job, failure)
                return exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
            }
        val found = items.firstOrNull { it.id == item }
        if (found == null) {
            exchange.refuse(notRun(RefusalReason.NOT_FOUND))
        } else {
            exchange.answer(OK, NO_HEADERS, Buffer.buffer(found.body.toByteArray()))
        }
    }

    /** Ends [job] on behalf of its client. */
    private suspend fun end(
        exchange: CallerExchange,
        job: JobId,
    ) {
        val ended = withTimeoutOrNull(exchange.readDeadline() - now()) { storage.end(job, wallClock()) }
        val failure = (ended ?: Err(StoreFailure.OutcomeUnknown("not known in time"))).fold({ null }, { it })
        logger.info("job end decided job={} failure={}", job, failure)
        when (failure) {
            null -> exchange.answer(OK, NO_HEADERS, Buffer.buffer())
            is StoreFailure.OutcomeUnknown -> exchange.refuse(unknown(RefusalReason.STORE_UNAVAILABLE))
            else -> exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
        }
    }

    private suspend fun accept(
        record: JobRecord,
        items: List<RawItem>,
        terms: JobTerms,
    ): Result<Unit, CallerRefusal> {
        jobIndex.record(record.job)?.let { return join(it, record) }
        val waiting = jobIndex.waitingTokens(record.workspace, record.route, wallClock())
        if (terms.maximumTokens > 0 && waiting + record.tokens > terms.maximumTokens) {
            return joinOrRefuse(record, RefusalReason.RATE_LIMITED)
        }
        val parts = storage.split(items)
        val failure = storage.create(record.copy(parts = parts.size), parts).fold({ null }, { it })
        return when (failure) {
            null -> Ok(Unit).also { jobIndex.add(record.copy(parts = parts.size)) }
            is StoreFailure.Conflict -> joinOrRefuse(record, RefusalReason.STORE_UNAVAILABLE)
            is StoreFailure.OutcomeUnknown -> Err(unknown(RefusalReason.STORE_UNAVAILABLE))
            else -> Err(notRun(RefusalReason.STORE_UNAVAILABLE))
        }
    }

    /** Succeeds if another process has just accepted the same job; otherwise refuses with [reason]. */
    private suspend fun joinOrRefuse(
        record: JobRecord,
        reason: RefusalReason,
    ): Result<Unit, CallerRefusal> =
        storage.record(record.job).fold(
            success = { join(it, record) },
            failure = {
                val runState = if (it is StoreFailure.NotFound) RunState.NOT_RUN else RunState.UNKNOWN
                Err(CallerRefusal(reason, runState))
            },
        )

    private fun join(
        accepted: JobRecord,
        record: JobRecord,
    ): Result<Unit, CallerRefusal> =
        if (JobOwnership.isRepeat(accepted.workspace, record.workspace)) {
            Ok(Unit)
        } else {
            Err(notRun(RefusalReason.NOT_FOUND))
        }

    private suspend fun resultsAfter(
        exchange: CallerExchange,
        job: JobId,
        after: Int,
    ): List<ListedResult>? {
        val runner = JobIndex.runnerOf(job, fleet.runners(includeOwn = false))
        val reply = runner?.let { resultsClient.query(it, job, after, exchange.wait) }
        val known = reply?.results
        if (known != null) {
            logRead(exchange, job, after, known, source = "runner $runner")
            return known
        }
        if (reply?.isUnconfirmed == true) {
            logger.warn("results not read job={} runner={} cause=not confirmed by the runner", job, runner)
            return null
        }
        return storage.pages(job).fold(
            success = { pages ->
                pages.flatten().drop(after).also { logRead(exchange, job, after, it, source = "store, not $runner") }
            },
            failure = {
                logger.warn("results not read job={} runner={} cause={}", job, runner, it)
                null
            },
        )
    }

    private fun logRead(
        exchange: CallerExchange,
        job: JobId,
        after: Int,
        results: List<ListedResult>,
        source: String,
    ) {
        logger.info(
            "results read job={} after={} results={} source=[{}] ended={} age={}",
            job,
            after,
            results.size,
            source,
            job in jobIndex.endedJobs,
            now() - exchange.arrivedAt,
        )
    }

    private fun newRecord(
        job: JobId,
        route: ServingRoute,
        terms: JobTerms,
        workspace: WorkspaceName?,
        items: List<RawItem>,
    ): JobRecord {
        val now = wallClock()
        return JobRecord(
            job = job,
            workspace = workspace,
            route = route.name,
            routeHost = route.host,
            service = route.services.first().service,
            submittedAt = now,
            dueAt = now + terms.due,
            keepUntil = now + terms.retention,
            expiresAt = now + maxOf(terms.retention, resultTime),
            attempts = route.attempts,
            parts = 0,
            items = items.size,
            tokens = items.sumOf { it.tokens },
        )
    }

    private fun jobIdOf(text: String): JobId? = if (JOB_NAME_PATTERN.matches(text)) JobId(text) else null

    private fun notRun(reason: RefusalReason) = CallerRefusal(reason, RunState.NOT_RUN)

    private fun unknown(reason: RefusalReason) = CallerRefusal(reason, RunState.UNKNOWN)

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202

        /** Maximum bytes of the results in one answer; the rest of 1 MB is for what stands around them. */
        const val MAXIMUM_RESULTS_BYTES = 999_000
        val JOB_NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,128}")
        val NO_HEADERS = emptyMap<String, String>().entries
        val RETRY_AFTER = 300.milliseconds

        /** Time that a submission has at least, once its body has arrived. */
        val MINIMUM_ACCEPTANCE_TIME = 1.seconds
        val NOT_IN_TIME = StoreFailure.Unavailable("not known in time")
        val logger = LoggerFactory.getLogger(JobCallHandler::class.java)
    }
}
