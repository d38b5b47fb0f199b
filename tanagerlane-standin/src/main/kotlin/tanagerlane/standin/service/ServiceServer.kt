package tanagerlane.standin.service

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import tanagerlane.model.RequestId
import tanagerlane.standin.http.ReceivedCall
import tanagerlane.standin.http.TargetFaults
import tanagerlane.standin.http.TargetServer
import tanagerlane.standin.http.answer
import java.util.concurrent.ConcurrentHashMap

/** A plain service that answers each call with what it received and counts calls by request. */
public class ServiceServer(
    vertx: Vertx,
) {
    private val server = TargetServer(vertx)
    private val counts = ConcurrentHashMap<RequestId, Int>()

    /** Faults in force; may be changed at any time. Calls that a fault swallows are counted too. */
    public var faults: TargetFaults by server::faults

    /** The most recent calls, oldest first. */
    public val calls: List<ReceivedCall> get() = server.calls

    /** Calls by request. */
    public val runs: Map<RequestId, Int> get() = counts.toMap()

    init {
        server.observe { routing -> requestId(routing)?.let { counts.merge(it, 1, Int::plus) } }
        server.handle(control = true, routes = { it.get("/runs/:id") }, answer = ::runCount)
        server.handle(routes = { it.route() }, answer = ::echo)
    }

    /** Listens on the loopback address at [port], any port where it is 0, and returns the port. */
    public suspend fun start(port: Int): Int = server.start(port)

    /** Stops listening and drops what runs. */
    public suspend fun stop(): Unit = server.stop()

    private fun runCount(routing: RoutingContext) {
        val id = RequestId(routing.pathParam("id").orEmpty())
        routing.answer(ServiceRuns.serializer(), ServiceRuns(counts[id] ?: 0))
    }

    private fun echo(routing: RoutingContext) {
        val request = routing.request()
        val body = routing.body().asString().orEmpty()
        routing.answer(Echo.serializer(), Echo(request.method().name(), request.uri(), body))
    }

    private fun requestId(routing: RoutingContext): RequestId? =
        routing.request().getHeader("x-request-id")?.let(::RequestId)
}
