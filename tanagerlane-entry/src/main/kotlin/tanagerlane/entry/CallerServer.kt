package tanagerlane.entry

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.model.JobId
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName

/**
 * HTTP server for callers.
 *
 * @param record records each refusal before it is sent to the caller
 * @param draining whether callers should close their connections after the next response
 */
internal class CallerServer(
    private val vertx: Vertx,
    private val online: OnlineRoutes,
    private val jobs: JobRoutes,
    record: suspend (WorkspaceName?, CallerRefusal) -> Unit,
    draining: () -> Boolean,
) {
    private val exchanges = CallerExchanges(vertx, record, draining)
    private var server: HttpServer? = null

    /** Number of requests that are not answered yet. */
    val openRequests: Int get() = exchanges.openRequests

    /** Listens on [address] and [port], or on a free port if it is 0; returns the port in use. */
    suspend fun start(
        address: String,
        port: Int,
    ): Int {
        val listening =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(port, address)
                .coAwait()
        server = listening
        return listening.actualPort()
    }

    /** Ends the open requests and stops the server. */
    suspend fun stop() {
        exchanges.endAll()
        server?.close()?.coAwait()
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.put("/v1/jobs/:job").handler(::submitJob)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
        router.get("/v1/models").handler { respond(it, online::models) }
        router.post("/v1/chat/completions").handler { respond(it, online::chat) }
        router.get("/v1/jobs/:job").handler { context -> respond(context) { jobs.status(it, jobOf(context)) } }
        router.get("/v1/jobs/:job/results").handler { context -> respond(context) { jobs.results(it, jobOf(context)) } }
        router.post("/v1/jobs/:job/cancel").handler { context -> respond(context) { jobs.cancel(it, jobOf(context)) } }
        router.route("/services/:service/*").handler { context -> respond(context) { service(context, it) } }
        router.route().handler { context -> respond(context) { it.refuse(refusal(RefusalReason.NOT_FOUND)) } }
        router.route().failureHandler { context -> respond(context) { it.refuse(refusal(reasonOf(context))) } }
        return router
    }

    /** Streams the body, so that a large job is never held in memory as a whole. */
    private fun submitJob(context: RoutingContext) {
        context.request().pause()
        respond(context) { jobs.submit(it, jobOf(context), bodyLines(context.request(), vertx)) }
    }

    private fun jobOf(context: RoutingContext): JobId = JobId(context.pathParam("job").orEmpty())

    private suspend fun service(
        context: RoutingContext,
        exchange: CallerExchange,
    ) {
        val name = context.pathParam("service").orEmpty()
        online.service(exchange, ServiceName(name), exchange.uri.removePrefix("/services/$name"))
    }

    private fun respond(
        context: RoutingContext,
        handle: suspend (CallerExchange) -> Unit,
    ): Unit = exchanges.launch(context, handle)

    private fun reasonOf(context: RoutingContext): RefusalReason =
        if (context.statusCode() == PAYLOAD_TOO_LARGE) RefusalReason.TOO_LARGE else RefusalReason.MALFORMED

    private fun refusal(reason: RefusalReason) = CallerRefusal(reason, RunState.NOT_RUN, reason.explanation)

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1L shl 20
        const val PAYLOAD_TOO_LARGE = 413
    }
}
