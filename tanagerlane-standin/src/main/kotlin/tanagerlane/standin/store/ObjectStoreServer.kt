package tanagerlane.standin.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import tanagerlane.model.Payload
import tanagerlane.store.ObjectDocument
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import tanagerlane.store.ObjectsDocument
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** Serves [store] over HTTP on the loopback address. */
public class ObjectStoreServer(
    private val store: MemoryObjectStore,
    private val vertx: Vertx,
) {
    private val scope = CoroutineScope(vertx.dispatcher())
    private var server: HttpServer? = null

    /** Starts on [port], or on any free one where it is 0; returns the port in use. */
    public suspend fun start(port: Int): Int {
        val started =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(port, "127.0.0.1")
                .coAwait()
        server = started
        return started.actualPort()
    }

    /** Stops serving. */
    public suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT))
        router.get("/objects/*").handler { answer(it, ::get) }
        router.put("/objects/*").handler { answer(it, ::put) }
        router.delete("/objects/*").handler { answer(it, ::delete) }
        router.get("/list").handler { answer(it, ::list) }
        router.get("/watch").handler { answer(it, ::watch) }
        router.get("/calls").handler { answer(it, ::calls) }
        router.put("/faults").handler { answer(it, ::changeFaults) }
        return router
    }

    private fun answer(
        context: RoutingContext,
        handle: suspend (RoutingContext) -> Unit,
    ) {
        scope.launch {
            try {
                handle(context)
            } catch (exception: IllegalArgumentException) {
                context.response().setStatusCode(BAD_REQUEST).end(exception.message.orEmpty())
            }
        }
    }

    private suspend fun get(context: RoutingContext) {
        store
            .get(keyOf(context))
            .onOk { sendObject(context.response(), it) }
            .onErr { sendFailure(context.response(), it) }
    }

    private suspend fun put(context: RoutingContext) {
        val body = context.body().buffer() ?: Buffer.buffer()
        store
            .put(keyOf(context), Payload.of(body.bytes), expectedOf(context))
            .onOk { context.response().putHeader("etag", "\"$it\"").end() }
            .onErr { sendFailure(context.response(), it) }
    }

    private suspend fun delete(context: RoutingContext) {
        val expected = requireNotNull(expectedOf(context)) { "a deletion needs if-match" }
        store
            .delete(keyOf(context), expected)
            .onOk { context.response().end() }
            .onErr { sendFailure(context.response(), it) }
    }

    private suspend fun list(context: RoutingContext) {
        val listing = store.list(prefixOf(context))
        sendDocument(context, listing) { found ->
            ObjectsDocument(at = found.at.number, objects = found.objects.map { documentOf(it) })
        }
    }

    private suspend fun watch(context: RoutingContext) {
        val after = ObjectVersion(numberOf(context, "after"))
        val wait =
            numberOf(context, "wait").milliseconds
        sendDocument(context, store.watch(prefixOf(context), after, wait)) { found ->
            val documents =
                found.changes.map { change ->
                    change.current?.let { documentOf(it) } ?: deleted(change.key)
                }
            ObjectsDocument(at = found.at.number, objects = documents)
        }
    }

    private suspend fun calls(context: RoutingContext) {
        val calls = store.calls
        val document = JsonObject().put("reads", calls.reads).put("writes", calls.writes).put("watches", calls.watches)
        context.response().end(document.encode()).coAwait()
    }

    private suspend fun changeFaults(context: RoutingContext) {
        val document = requireNotNull(context.body().asJsonObject()) { "faults need a JSON body" }
        store.faults =
            StoreFaults(
                down = document.getBoolean("down", false),
                loseAnswers = document.getBoolean("loseAnswers", false),
                delay = document.getLong("delayMilliseconds", 0).milliseconds,
            )
        context.response().end().coAwait()
    }

    private fun <T> sendDocument(
        context: RoutingContext,
        result: Result<T, StoreFailure>,
        document: (T) -> ObjectsDocument,
    ) {
        result
            .onOk { context.response().end(Json.encodeToString(document(it))) }
            .onErr { sendFailure(context.response(), it) }
    }

    private fun sendObject(
        response: HttpServerResponse,
        stored: StoredObject,
    ) {
        response.putHeader("etag", "\"${stored.version}\"").end(Buffer.buffer(stored.value.toByteArray()))
    }

    private fun sendFailure(
        response: HttpServerResponse,
        failure: StoreFailure,
    ) {
        when (failure) {
            is StoreFailure.NotFound -> {
                response.setStatusCode(NOT_FOUND).end()
            }

            is StoreFailure.Conflict -> {
                sendConflict(response, failure)
            }

            is StoreFailure.TooLarge -> {
                response
                    .setStatusCode(TOO_LARGE)
                    .putHeader("x-maximum-bytes", failure.maximumBytes.toString())
                    .end()
            }

            StoreFailure.HistoryGone -> {
                response.setStatusCode(GONE).end()
            }

            is StoreFailure.Unavailable -> {
                response.setStatusCode(UNAVAILABLE).end()
            }

            is StoreFailure.OutcomeUnknown -> {
                response.reset()
            }
        }
    }

    private fun sendConflict(
        response: HttpServerResponse,
        failure: StoreFailure.Conflict,
    ) {
        failure.current?.let { response.putHeader("etag", "\"$it\"") }
        response.setStatusCode(PRECONDITION_FAILED).end()
    }

    private companion object {
        const val BODY_LIMIT = 2L shl 20
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503
    }
}

private fun keyOf(context: RoutingContext): ObjectKey =
    ObjectKey(
        context
            .request()
            .path()
            .orEmpty()
            .removePrefix("/objects/"),
    )

private fun prefixOf(context: RoutingContext): String = context.request().getParam("prefix").orEmpty()

private fun numberOf(
    context: RoutingContext,
    name: String,
): Long = requireNotNull(context.request().getParam(name)) { "the query lacks $name" }.toLong()

private fun expectedOf(context: RoutingContext): ObjectVersion? =
    context
        .request()
        .getHeader("if-match")
        ?.trim('"')
        ?.toLong()
        ?.let { ObjectVersion(it) }

private fun documentOf(stored: StoredObject): ObjectDocument =
    ObjectDocument(
        key = stored.key.path,
        version = stored.version.number,
        value = Base64.getEncoder().encodeToString(stored.value.toByteArray()),
    )

private fun deleted(key: ObjectKey): ObjectDocument = ObjectDocument(key = key.path, version = 0, value = null)
