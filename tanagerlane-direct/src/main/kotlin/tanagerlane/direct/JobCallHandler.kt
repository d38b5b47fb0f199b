package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
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
import tanagerlane.serving.JobTerms
import tanagerlane.serving.ServingRoute
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Answers callers' calls about jobs.
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
    private val wallClock: () -> Instant,
) {
    /** Takes in a job on [route]. */
    suspend fun submit(
        exchange: CallerExchange,
        route: ServingRoute,
        terms: JobTerms,
        workspace: WorkspaceName?,
    ) {
        val job = exchange.id?.text?.let(::jobIdOf) ?: return exchange.refuse(notRun(RefusalReason.MALFORMED))
        val body = exchange.body() ?: return exchange.refuse(notRun(RefusalReason.TOO_LARGE))
        val items =
            bodyFormat.readItems(Payload.of(body.bytes)).getOrElse { fault ->
                logger.info("submission refused job={} reason=malformed cause={}", job, fault.reason)
                return exchange.refuse(notRun(RefusalReason.MALFORMED))
            }
        // A caller that leaves meanwhile sends the job again and finds it accepted.
        val outcome =
            withContext(NonCancellable) { accept(cardOf(job, route, terms, workspace, items), items, terms) }
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

    /** Answers with results of [job] from [after] on. */
    suspend fun readResults(
        exchange: CallerExchange,
        job: JobId,
        after: Int,
        workspace: WorkspaceName?,
    ) {
        val card = ownCard(exchange, job, workspace) ?: return
        val listed =
            listedAfter(exchange, job, after)
                ?: return exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
        val page = listed.takeWithinBytes(MAXIMUM_ANSWER_BYTES, RESULT_OVERHEAD)
        val document = bodyFormat.writeResults(card.items, after + page.size, page)
        exchange.answerJson(OK, Buffer.buffer(document.toByteArray()))
    }

    /** Answers with the body of [item]. */
    suspend fun readItem(
        exchange: CallerExchange,
        job: JobId,
        item: RequestId,
        workspace: WorkspaceName?,
    ) {
        val card = ownCard(exchange, job, workspace) ?: return
        val items =
            storage.items(card).getOrElse { failure ->
                logger.warn("items not read job={} cause={}", job, failure)
                return exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
            }
        val found = items.firstOrNull { it.id == item }
        if (found == null) {
            exchange.refuse(notRun(RefusalReason.NOT_FOUND))
        } else {
            exchange.answer(OK, NO_HEADERS, Buffer.buffer(found.body.toByteArray()))
        }
    }

    /** Ends [job]. */
    suspend fun end(
        exchange: CallerExchange,
        job: JobId,
        workspace: WorkspaceName?,
    ) {
        ownCard(exchange, job, workspace) ?: return
        val failure = storage.end(job, wallClock()).fold({ null }, { it })
        logger.info("job end decided job={} failure={}", job, failure)
        if (failure == null) {
            exchange.answer(OK, NO_HEADERS, Buffer.buffer())
        } else {
            exchange.refuse(notRun(RefusalReason.STORE_UNAVAILABLE), RETRY_AFTER)
        }
    }

    private suspend fun accept(
        card: JobRecord,
        items: List<RawItem>,
        terms: JobTerms,
    ): Result<Unit, CallerRefusal> {
        jobIndex.record(card.job)?.let { return joined(it, card) }
        val waiting = jobIndex.waitingTokens(card.workspace, card.route, wallClock())
        if (terms.maximumTokens > 0 && waiting + card.tokens > terms.maximumTokens) {
            return joinedOrRefused(card, RefusalReason.RATE_LIMITED)
        }
        val parts = storage.partsOf(items)
        val failure = storage.create(card.copy(parts = parts.size), parts).fold({ null }, { it })
        return when (failure) {
            null -> Ok(Unit).also { jobIndex.add(card.copy(parts = parts.size)) }
            is StoreFailure.Conflict -> joinedOrRefused(card, RefusalReason.STORE_UNAVAILABLE)
            is StoreFailure.OutcomeUnknown -> Err(CallerRefusal(RefusalReason.STORE_UNAVAILABLE, RunState.UNKNOWN))
            else -> Err(notRun(RefusalReason.STORE_UNAVAILABLE))
        }
    }

    /** Joins a job that another process may have accepted a moment ago; refuses only when there is none. */
    private suspend fun joinedOrRefused(
        card: JobRecord,
        reason: RefusalReason,
    ): Result<Unit, CallerRefusal> =
        storage.record(card.job).fold(
            success = { joined(it, card) },
            failure = {
                val runState = if (it is StoreFailure.NotFound) RunState.NOT_RUN else RunState.UNKNOWN
                Err(CallerRefusal(reason, runState))
            },
        )

    private fun joined(
        accepted: JobRecord,
        card: JobRecord,
    ): Result<Unit, CallerRefusal> =
        if (accepted.workspace == card.workspace) Ok(Unit) else Err(notRun(RefusalReason.NOT_FOUND))

    /** Returns the card of [job], or answers the exchange and returns null. */
    private suspend fun ownCard(
        exchange: CallerExchange,
        job: JobId,
        workspace: WorkspaceName?,
    ): JobRecord? {
        val card = jobIndex.record(job) ?: storedCard(exchange, job) ?: return null
        if (jobIndex.isFinished(job) && card.expiresAt <= wallClock()) {
            logger.info("job expired job={} expired_at={}", job, card.expiresAt)
            exchange.refuse(notRun(RefusalReason.NOT_FOUND))
            return null
        }
        if (card.workspace != workspace) {
            logger.info("job of another workspace job={} asked_by={}", job, workspace)
            exchange.refuse(notRun(RefusalReason.NOT_FOUND))
            return null
        }
        jobIndex.add(card)
        return card
    }

    private suspend fun storedCard(
        exchange: CallerExchange,
        job: JobId,
    ): JobRecord? =
        storage.record(job).getOrElse { failure ->
            val isMissing = failure is StoreFailure.NotFound
            val reason = if (isMissing) RefusalReason.NOT_FOUND else RefusalReason.STORE_UNAVAILABLE
            logger.info("job not found job={} failure={}", job, failure)
            exchange.refuse(notRun(reason), RETRY_AFTER)
            null
        }

    private suspend fun listedAfter(
        exchange: CallerExchange,
        job: JobId,
        after: Int,
    ): List<ListedResult>? {
        val runner = JobIndex.runnerOf(job, fleet.runners(includeOwn = false))
        runner?.let { resultsClient.query(it, job, after, exchange.wait) }?.let { return it }
        return storage.pages(job).fold(
            success = { pages -> pages.flatten().drop(after) },
            failure = {
                logger.warn("results not read job={} runner={} cause={}", job, runner, it)
                null
            },
        )
    }

    private fun cardOf(
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

    private fun jobIdOf(text: String): JobId? = if (JOB_NAME.matches(text)) JobId(text) else null

    private fun notRun(reason: RefusalReason) = CallerRefusal(reason, RunState.NOT_RUN)

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val MAXIMUM_ANSWER_BYTES = 700_000

        /** Bytes of a result beside its text. */
        const val RESULT_OVERHEAD = 100
        val JOB_NAME = Regex("[A-Za-z0-9._-]{1,128}")
        val NO_HEADERS = emptyMap<String, String>().entries
        val RETRY_AFTER = 300.milliseconds
        val logger = LoggerFactory.getLogger(JobCallHandler::class.java)
    }
}
