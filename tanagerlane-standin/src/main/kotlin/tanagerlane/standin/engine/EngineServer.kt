package tanagerlane.standin.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.model.RequestId
import tanagerlane.standin.http.ReceivedCall
import tanagerlane.standin.http.TargetFaults
import tanagerlane.standin.http.TargetServer
import tanagerlane.standin.http.answer
import tanagerlane.standin.http.answerFailure
import tanagerlane.standin.http.read
import java.util.concurrent.ConcurrentHashMap

/** A model engine over HTTP; it needs no key and starts requests as they come. */
public class EngineServer(
    vertx: Vertx,
    private val settings: EngineServerSettings = EngineServerSettings(),
) {
    private val server = TargetServer(vertx)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val runner = EngineRunner(SimulatedEngine(settings.engine))
    private val counts = ConcurrentHashMap<RequestId, RunCount>()
    private val orders = OrderBook(settings.checksFencing)
    private val chat = ChatEndpoint(runner, settings.models, ::count)

    @Volatile
    private var reported = EngineReport()

    /** Faults in force; may be changed at any time. */
    public var faults: TargetFaults by server::faults

    /** The most recent calls, oldest first. */
    public val calls: List<ReceivedCall> get() = server.calls

    /** Runs by request. */
    public val runs: Map<RequestId, RunCount> get() = counts.toMap()

    /** Orders that took effect, oldest first. */
    public val appliedOrders: List<EngineOrder> get() = orders.applied

    init {
        server.handle(routes = { it.post("/v1/chat/completions") }, answer = chat::serve)
        server.handle(routes = { it.get("/v1/models") }, answer = ::models)
        server.handle(routes = { it.post("/v1/cancel/:id") }, answer = ::cancel)
        server.handle(routes = { it.get("/v1/load") }) { it.answer(EngineLoad.serializer(), reported.load) }
        server.handle(routes = { it.post("/v1/orders") }, answer = ::order)
        server.handle(routes = { it.get("/v1/cache/events") }, answer = ::cacheEvents)
        server.handle(control = true, routes = { it.get("/runs/:id") }, answer = ::runCount)
    }

    /** Listens on the loopback address at [port], any port where it is 0, and returns the port. */
    public suspend fun start(port: Int): Int {
        scope.launch { runner.run() }
        scope.launch { report() }
        return server.start(port)
    }

    /** Stops listening and drops what runs. */
    public suspend fun stop() {
        scope.cancel()
        server.stop()
    }

    private suspend fun report() {
        while (true) {
            reported = EngineReport(runner.load, runner.cacheEvents.filterNot(::isLost))
            delay(settings.reportLag)
        }
    }

    private fun isLost(event: CacheEvent): Boolean =
        settings.cacheEventGap > 0 && event.number % settings.cacheEventGap == 0L

    private fun count(
        id: RequestId,
        change: (RunCount) -> RunCount,
    ) {
        counts.compute(id) { _, current -> change(current ?: RunCount()) }
    }

    private fun models(routing: RoutingContext) {
        routing.answer(ModelList.serializer(), ModelList.of(settings.models))
    }

    private fun cancel(routing: RoutingContext) {
        if (runner.cancel(RequestId(routing.pathParam("id").orEmpty()))) {
            routing.response().setStatusCode(NO_CONTENT).end()
        } else {
            routing.answerFailure(NOT_FOUND, "not_found", "no such request runs")
        }
    }

    private fun order(routing: RoutingContext) {
        val order = routing.read(EngineOrder.serializer())
        if (orders.apply(order)) {
            routing.answer(EngineOrder.serializer(), orders.state)
        } else {
            routing.answerFailure(CONFLICT, "stale_fencing", "latest fencing number is ${orders.state.fencing}")
        }
    }

    private fun cacheEvents(routing: RoutingContext) {
        val after = routing.request().getParam("after")?.toLongOrNull() ?: 0
        routing.answer(CacheEvents.serializer(), CacheEvents(reported.events.filter { it.number > after }))
    }

    private fun runCount(routing: RoutingContext) {
        val id = RequestId(routing.pathParam("id").orEmpty())
        routing.answer(RunCount.serializer(), counts[id] ?: RunCount())
    }

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_FOUND = 404
        const val CONFLICT = 409
    }
}
