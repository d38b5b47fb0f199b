package tanagerlane.standin.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Route
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import tanagerlane.message.Header
import tanagerlane.model.Payload
import java.net.ConnectException
import java.net.Socket
import java.net.SocketException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP server of a stand-in that records its calls and can be made to fail. */
public class TargetServer(
    private val vertx: Vertx,
    private val recordedCalls: Int = RECORDED_CALLS,
) {
    /** Faults in force; may be changed at any time, also by `PUT /faults`. */
    @Volatile
    public var faults: TargetFaults = TargetFaults()

    private val scope = CoroutineScope(SupervisorJob())
    private val router = Router.router(vertx)
    private val recorded = ArrayDeque<ReceivedCall>()
    private var server: HttpServer? = null

    @Volatile
    private var observer: (RoutingContext) -> Unit = {}

    /** The most recent calls, oldest first, without those that control faults; also at `GET /calls`. */
    public val calls: List<ReceivedCall> get() = synchronized(recorded) { recorded.toList() }

    init {
        router.route().handler(BodyHandler.create(false))
        router.put("/faults").handler { routing -> changeFaults(routing) }
        router.get("/calls").handler { routing ->
            routing.answer(ListSerializer(CallDocument.serializer()), documents())
        }
    }

    /** Adds routes; calls of [control] routes are neither recorded nor touched by faults. */
    public fun handle(
        control: Boolean = false,
        routes: (Router) -> Route,
        answer: suspend (RoutingContext) -> Unit,
    ) {
        routes(router).handler { routing ->
            scope.launch(vertx.orCreateContext.dispatcher()) { serve(control, routing, answer) }
        }
    }

    /** Shows each recorded call to [observer] before faults touch it. */
    public fun observe(observer: (RoutingContext) -> Unit) {
        this.observer = observer
    }

    /** Listens on the loopback address at [port], any port where it is 0, and returns the port. */
    public suspend fun start(port: Int): Int {
        val started =
            vertx
                .createHttpServer()
                .requestHandler(router)
                .listen(port, LOOPBACK)
                .coAwait()
        server = started
        return started.actualPort()
    }

    /** Stops listening and drops calls that run; connections are refused once this returns. */
    public suspend fun stop() {
        scope.cancel()
        val stopped = server ?: return
        stopped.close().coAwait()
        awaitRefusal(stopped.actualPort())
    }

    /** Waits until connections are refused: the server reports its end while its socket still accepts a few. */
    private suspend fun awaitRefusal(port: Int) {
        withContext(Dispatchers.IO) {
            withTimeout(STOP_BOUND) { while (isListening(port)) delay(STOP_CHECK) }
        }
    }

    private fun isListening(port: Int): Boolean =
        try {
            Socket(LOOPBACK, port).close()
            true
        } catch (_: ConnectException) {
            false
        } catch (_: SocketException) {
            // Reset by the closing listener, which may still accept another connection.
            true
        }

    private suspend fun serve(
        control: Boolean,
        routing: RoutingContext,
        answer: suspend (RoutingContext) -> Unit,
    ) {
        if (!control) {
            record(routing)
            observer(routing)
            if (fault(routing)) {
                return
            }
        }
        try {
            answer(routing)
        } catch (failure: SerializationException) {
            routing.answerFailure(BAD_REQUEST, "malformed", failure.message.orEmpty())
        }
    }

    private suspend fun fault(routing: RoutingContext): Boolean {
        val current = faults
        delay(current.delayMillis)
        if (current.hang) {
            awaitCancellation()
        }
        if (current.reset) {
            routing.request().connection().close()
        }
        if (current.fail) {
            routing.answerFailure(SERVER_ERROR, "fault", "made to fail")
        }
        return current.reset || current.fail
    }

    private fun record(routing: RoutingContext) {
        val request = routing.request()
        val headers = request.headers().map { Header(it.key.lowercase(), it.value) }
        val body = Payload.of(routing.body().buffer()?.bytes ?: ByteArray(0))
        synchronized(recorded) {
            recorded.addLast(ReceivedCall(request.method().name(), request.uri(), headers, body))
            if (recorded.size > recordedCalls) {
                recorded.removeFirst()
            }
        }
    }

    private fun documents(): List<CallDocument> = calls.map { CallDocument(it) }

    private fun changeFaults(routing: RoutingContext) {
        try {
            faults = routing.read(TargetFaults.serializer())
            routing.answer(TargetFaults.serializer(), faults)
        } catch (failure: SerializationException) {
            routing.answerFailure(BAD_REQUEST, "malformed", failure.message.orEmpty())
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val RECORDED_CALLS = 10_000
        const val BAD_REQUEST = 400
        const val SERVER_ERROR = 500
        val STOP_CHECK = 1.milliseconds
        val STOP_BOUND = 5.seconds
    }
}
