package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.coroutines.coroutineBinding
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.flow.Flow
import tanagerlane.caller.JobDocument
import tanagerlane.job.JobHeader
import tanagerlane.jobs.JobStatus
import tanagerlane.jobs.JobStore
import tanagerlane.jobs.JobSubmission
import tanagerlane.jobs.ResultCursor
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Handles the routes under `/v1/jobs`.
 *
 * @param wallClock reads the time of day, which due times refer to
 */
internal class JobRoutes(
    private val access: CallerAccess,
    private val jobs: JobStore,
    private val wallClock: () -> Instant,
) {
    /** Submits [job] with one item on each of [lines], due at the query parameter `due` or after [DEFAULT_DUE]. */
    suspend fun submit(
        exchange: CallerExchange,
        job: JobId,
        lines: Flow<Payload>,
    ) {
        coroutineBinding {
            val workspace = workspaceOf(exchange).bind()
            val due = dueOf(exchange).bind()
            val submission = JobSubmission(workspace, job, due)
            jobs
                .submit(submission, lines, wallClock())
                .mapError(::jobRefusalOf)
                .bind()
                .header
        }.map { JobStatus(it, doneItems = 0, failedItems = 0) }
            .onOk { exchange.sendJson(ACCEPTED, JobDocument.serializer(), documentOf(it)) }
            .onErr { exchange.refuse(it) }
    }

    /** Sends the phase of [job] and its numbers of items. */
    suspend fun status(
        exchange: CallerExchange,
        job: JobId,
    ) {
        coroutineBinding {
            val workspace = workspaceOf(exchange).bind()
            jobs.status(workspace, job).mapError(::jobRefusalOf).bind()
        }.onOk { exchange.sendJson(OK, JobDocument.serializer(), documentOf(it)) }
            .onErr { exchange.refuse(it) }
    }

    /** Sends one page of the results of [job], starting at the query parameter `cursor`. */
    suspend fun results(
        exchange: CallerExchange,
        job: JobId,
    ) {
        coroutineBinding {
            val workspace = workspaceOf(exchange).bind()
            val cursor = cursorOf(exchange).bind()
            jobs.results(workspace, job, cursor).mapError(::jobRefusalOf).bind()
        }.onOk { page -> exchange.sendLines(page.results.map { resultLine(it) }, cursorText(page.next)) }
            .onErr { exchange.refuse(it) }
    }

    /** Cancels [job] and sends its status. */
    suspend fun cancel(
        exchange: CallerExchange,
        job: JobId,
    ) {
        coroutineBinding {
            val workspace = workspaceOf(exchange).bind()
            jobs.cancel(workspace, job, wallClock()).mapError(::jobRefusalOf).bind()
            jobs.status(workspace, job).mapError(::jobRefusalOf).bind()
        }.onOk { exchange.sendJson(OK, JobDocument.serializer(), documentOf(it)) }
            .onErr { exchange.refuse(it) }
    }

    private fun workspaceOf(exchange: CallerExchange): Result<WorkspaceName, CallerRefusal> =
        access.servingState().flatMap { access.authenticate(it, exchange) }

    private fun dueOf(exchange: CallerExchange): Result<Instant, CallerRefusal> {
        val text = exchange.parameter("due") ?: return Ok(wallClock() + DEFAULT_DUE)
        return Instant.parseOrNull(text)?.let { Ok(it) } ?: malformed("The due time is not an ISO 8601 instant: $text")
    }

    private fun cursorOf(exchange: CallerExchange): Result<ResultCursor, CallerRefusal> {
        val text = exchange.parameter("cursor") ?: return Ok(ResultCursor.START)
        val numbers = text.split('-').mapNotNull { it.toIntOrNull() }
        return if (numbers.size == 2) Ok(ResultCursor(numbers[0], numbers[1])) else malformed("Invalid cursor: $text")
    }

    private fun cursorText(next: ResultCursor?): String? = next?.let { "${it.chunk}-${it.page}" }

    private fun documentOf(status: JobStatus): JobDocument {
        val header: JobHeader = status.header
        return JobDocument(
            job = header.job,
            phase = header.phase,
            due = header.due,
            submittedAt = header.submittedAt,
            items = header.items,
            done = status.doneItems,
            failed = status.failedItems,
        )
    }

    private fun malformed(explanation: String) =
        Err(CallerRefusal(RefusalReason.MALFORMED, RunState.NOT_RUN, explanation))

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        val DEFAULT_DUE = 24.hours
    }
}
