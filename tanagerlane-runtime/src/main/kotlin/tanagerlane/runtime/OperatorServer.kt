package tanagerlane.runtime

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait

/**
 * Serves operators: `/health`, `/metrics` in the Prometheus text format and `/status` as JSON.
 *
 * @param ready whether the process takes new work; `/health` answers 503 when it doesn't
 * @param status current state of the process as a JSON document
 */
public class OperatorServer(
    private val vertx: Vertx,
    private val registry: PrometheusMeterRegistry,
    private val ready: () -> Boolean,
    private val status: () -> String,
) {
    private var server: HttpServer? = null

    /** Listens on [address] and [port], or on any free port where it is 0; returns the port in use. */
    public suspend fun start(
        address: String,
        port: Int,
    ): Int {
        val started =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(port, address)
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
        router.get("/health").handler { context ->
            val code = if (ready()) OK else UNAVAILABLE
            context.response().setStatusCode(code).end()
        }
        router.get("/metrics").handler { context ->
            context
                .response()
                .putHeader("content-type", "text/plain; version=0.0.4")
                .end(registry.scrape())
        }
        router.get("/status").handler { context ->
            context
                .response()
                .putHeader("content-type", "application/json")
                .end(status())
        }
        return router
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
