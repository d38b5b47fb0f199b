package tanagerlane.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpRequest
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import tanagerlane.model.Payload
import tanagerlane.store.Changes
import tanagerlane.store.Listing
import tanagerlane.store.ObjectChange
import tanagerlane.store.ObjectDocument
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.ObjectsDocument
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.io.IOException
import java.net.ConnectException
import java.util.Base64
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Object API over HTTP.
 *
 * @param baseUrl base URL of the platform's service
 * @param timeout time that a call may take, beside the wait of a watch
 * @param count called for each call that is made
 */
public class HttpObjectStore(
    private val baseUrl: String,
    vertx: Vertx,
    private val timeout: Duration = 5.seconds,
    private val count: (StoreCall) -> Unit = {},
) : ObjectStore {
    private val client =
        WebClient.create(
            vertx,
            WebClientOptions().setConnectTimeout(timeout.inWholeMilliseconds.toInt()),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS),
        )

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> {
        count(StoreCall.READ)
        return reading {
            val response = request(HttpMethod.GET, "/objects/$key").send().coAwait()
            when (response.statusCode()) {
                OK -> Ok(StoredObject(key, versionOf(response), payloadOf(response)))
                NOT_FOUND -> Err(StoreFailure.NotFound(key))
                else -> Err(unavailable(response))
            }
        }
    }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> {
        count(StoreCall.READ)
        return reading {
            val response = request(HttpMethod.GET, "/list").addQueryParam("prefix", prefix).send().coAwait()
            if (response.statusCode() == OK) Ok(listingOf(response)) else Err(unavailable(response))
        }
    }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        count(StoreCall.WRITE)
        return writing {
            val request = conditional(request(HttpMethod.PUT, "/objects/$key"), expected)
            val response = request.sendBuffer(Buffer.buffer(value.toByteArray())).coAwait()
            if (response.statusCode() == OK) Ok(versionOf(response)) else Err(writeFailure(key, response))
        }
    }

    override suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure> {
        count(StoreCall.WRITE)
        return writing {
            val response = conditional(request(HttpMethod.DELETE, "/objects/$key"), expected).send().coAwait()
            if (response.statusCode() == OK) Ok(Unit) else Err(writeFailure(key, response))
        }
    }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure> {
        count(StoreCall.WATCH)
        return reading {
            val response =
                request(HttpMethod.GET, "/watch")
                    .timeout((wait + timeout).inWholeMilliseconds)
                    .addQueryParam("prefix", prefix)
                    .addQueryParam("after", after.toString())
                    .addQueryParam("wait", wait.inWholeMilliseconds.toString())
                    .send()
                    .coAwait()
            if (response.statusCode() == OK) Ok(changesOf(response)) else Err(unavailable(response))
        }
    }

    private fun request(
        method: HttpMethod,
        path: String,
    ): HttpRequest<Buffer> = client.requestAbs(method, baseUrl + path).timeout(timeout.inWholeMilliseconds)

    private fun conditional(
        request: HttpRequest<Buffer>,
        expected: ObjectVersion?,
    ): HttpRequest<Buffer> =
        if (expected == null) {
            request.putHeader("if-none-match", "*")
        } else {
            request.putHeader("if-match", "\"$expected\"")
        }

    private suspend fun <T> reading(call: suspend () -> Result<T, StoreFailure>): Result<T, StoreFailure> =
        answerOr({ StoreFailure.Unavailable(it) }, call)

    private suspend fun <T> writing(call: suspend () -> Result<T, StoreFailure>): Result<T, StoreFailure> =
        answerOr({ StoreFailure.OutcomeUnknown(it) }, call)

    private suspend fun <T> answerOr(
        failure: (String) -> StoreFailure,
        call: suspend () -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> =
        try {
            call()
        } catch (exception: ConnectException) {
            Err(StoreFailure.Unavailable(exception.message.orEmpty()))
        } catch (exception: IOException) {
            Err(failure(exception.message.orEmpty()))
        } catch (exception: TimeoutException) {
            Err(failure(exception.message.orEmpty()))
        } catch (exception: VertxException) {
            Err(failure(exception.message.orEmpty()))
        } catch (exception: SerializationException) {
            Err(failure(exception.message.orEmpty()))
        }

    private fun writeFailure(
        key: ObjectKey,
        response: HttpResponse<Buffer>,
    ): StoreFailure =
        when (response.statusCode()) {
            PRECONDITION_FAILED -> StoreFailure.Conflict(key, versionOrNull(response))
            TOO_LARGE -> StoreFailure.TooLarge(key, response.getHeader(MAXIMUM_BYTES_HEADER)?.toIntOrNull())
            UNAVAILABLE -> StoreFailure.Unavailable("status ${response.statusCode()}")
            else -> StoreFailure.OutcomeUnknown("status ${response.statusCode()}")
        }

    private fun unavailable(response: HttpResponse<Buffer>): StoreFailure =
        StoreFailure.Unavailable("status ${response.statusCode()}")

    private companion object {
        const val MAXIMUM_CONNECTIONS = 16
        const val MAXIMUM_BYTES_HEADER = "x-maximum-bytes"
        const val OK = 200
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503
    }
}

private fun versionOf(response: HttpResponse<Buffer>): ObjectVersion =
    versionOrNull(response) ?: throw SerializationException("answer without a version")

private fun versionOrNull(response: HttpResponse<Buffer>): ObjectVersion? =
    response
        .getHeader("etag")
        ?.trim('"')
        ?.toLongOrNull()
        ?.let { ObjectVersion(it) }

private fun payloadOf(response: HttpResponse<Buffer>): Payload {
    val body: Buffer = response.body() ?: return Payload.EMPTY
    return Payload.of(body.bytes)
}

private fun documentOf(response: HttpResponse<Buffer>): ObjectsDocument =
    Json.decodeFromString(payloadOf(response).toText())

private fun listingOf(response: HttpResponse<Buffer>): Listing {
    val document = documentOf(response)
    return Listing(objects = document.objects.mapNotNull { storedOf(it) }, at = ObjectVersion(document.at))
}

private fun changesOf(response: HttpResponse<Buffer>): Changes {
    val document = documentOf(response)
    val changes = document.objects.map { ObjectChange(ObjectKey(it.key), storedOf(it)) }
    return Changes(changes = changes, at = ObjectVersion(document.at))
}

private fun storedOf(document: ObjectDocument): StoredObject? {
    val value = document.value ?: return null
    val payload = Payload.of(Base64.getDecoder().decode(value))
    return StoredObject(ObjectKey(document.key), ObjectVersion(document.version), payload)
}
