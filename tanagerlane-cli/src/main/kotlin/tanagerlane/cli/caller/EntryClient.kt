package tanagerlane.cli.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapError
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.file.OpenOptions
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpRequest
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.caller.ErrorDocument
import tanagerlane.caller.JobDocument
import tanagerlane.keys.PresentedKey
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.runtime.StoredDocuments
import java.io.IOException
import java.net.ConnectException
import java.net.URLEncoder
import java.net.UnknownHostException
import java.nio.file.Path
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Calls an entry for batch jobs, with [key] and without following redirects, which could carry the key elsewhere. */
internal class EntryClient(
    private val baseUrl: String,
    private val key: PresentedKey,
    private val vertx: Vertx,
) {
    private val client = WebClient.create(vertx, WebClientOptions().setFollowRedirects(false))

    /** Submits the items in [file], one JSON document a line; the file is streamed. */
    suspend fun submit(
        job: JobId,
        due: Instant?,
        file: Path,
    ): Result<JobDocument, EntryFailure> =
        call(::documentOf) {
            val items = vertx.fileSystem().open(file.toString(), OpenOptions().setRead(true)).coAwait()
            val request = request(HttpMethod.PUT, pathOf(job), SUBMIT_TIMEOUT)
            due?.let { request.addQueryParam("due", it.toString()) }
            request.putHeader("content-type", "application/jsonl").sendStream(items).coAwait()
        }

    suspend fun status(job: JobId): Result<JobDocument, EntryFailure> =
        call(::documentOf) { request(HttpMethod.GET, pathOf(job)).send().coAwait() }

    suspend fun cancel(job: JobId): Result<JobDocument, EntryFailure> =
        call(::documentOf) { request(HttpMethod.POST, pathOf(job) + "/cancel").send().coAwait() }

    /** Reads the page of results at [cursor], or the first one. */
    suspend fun results(
        job: JobId,
        cursor: String?,
    ): Result<ResultPage, EntryFailure> =
        call({ pageOf(it, cursor) }) {
            val request = request(HttpMethod.GET, pathOf(job) + "/results")
            cursor?.let { request.addQueryParam("cursor", it) }
            request.send().coAwait()
        }

    private fun request(
        method: HttpMethod,
        path: String,
        timeout: Duration = CALL_TIMEOUT,
    ): HttpRequest<Buffer> =
        client
            .requestAbs(method, baseUrl + path)
            .putHeader("authorization", "Bearer ${key.text}")
            .timeout(timeout.inWholeMilliseconds)

    private fun pathOf(job: JobId): String =
        "/v1/jobs/" + URLEncoder.encode(job.text, Charsets.UTF_8).replace("+", "%20")

    private suspend fun <T> call(
        read: (HttpResponse<Buffer>) -> Result<T, EntryFailure>,
        send: suspend () -> HttpResponse<Buffer>,
    ): Result<T, EntryFailure> =
        try {
            val response = send()
            if (response.statusCode() in SUCCESS) read(response) else Err(failureOf(response))
        } catch (exception: ConnectException) {
            Err(EntryFailure.Unreachable(exception.message.orEmpty()))
        } catch (exception: UnknownHostException) {
            Err(EntryFailure.Unreachable(exception.message.orEmpty()))
        } catch (exception: IOException) {
            Err(EntryFailure.AnswerLost(exception.message.orEmpty()))
        } catch (exception: VertxException) {
            Err(EntryFailure.AnswerLost(exception.message.orEmpty()))
        } catch (exception: TimeoutException) {
            Err(EntryFailure.AnswerLost(exception.message.orEmpty()))
        }

    private fun documentOf(response: HttpResponse<Buffer>): Result<JobDocument, EntryFailure> =
        StoredDocuments
            .decode(JobDocument.serializer(), payloadOf(response))
            .mapError { EntryFailure.UnexpectedAnswer(response.statusCode()) }

    /** A page that names itself as the next one would never end. */
    private fun pageOf(
        response: HttpResponse<Buffer>,
        cursor: String?,
    ): Result<ResultPage, EntryFailure> {
        val next: String? = response.getHeader("x-next-cursor")
        val isEndless = next != null && next == cursor
        return if (isEndless) {
            Err(EntryFailure.UnexpectedAnswer(response.statusCode()))
        } else {
            Ok(ResultPage(response.bodyAsString().orEmpty(), next))
        }
    }

    private fun failureOf(response: HttpResponse<Buffer>): EntryFailure {
        val document = StoredDocuments.decode(ErrorDocument.serializer(), payloadOf(response)).get()
        return document?.let { EntryFailure.Refused(it.error) } ?: EntryFailure.UnexpectedAnswer(response.statusCode())
    }

    private fun payloadOf(response: HttpResponse<Buffer>): Payload = Payload.of(response.bodyAsString().orEmpty())

    private companion object {
        val CALL_TIMEOUT = 30.seconds
        val SUBMIT_TIMEOUT = 10.minutes
        val SUCCESS = 200..299
    }
}
