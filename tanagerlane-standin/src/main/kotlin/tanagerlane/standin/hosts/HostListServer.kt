package tanagerlane.standin.hosts

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.standin.http.TargetFaults
import tanagerlane.standin.http.TargetServer
import tanagerlane.standin.http.answer
import tanagerlane.standin.http.read
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The platform's host list; it shows each change only after [lag]. */
public class HostListServer(
    vertx: Vertx,
    hosts: List<ListedHost>,
    private val lag: Duration = 5.seconds,
) {
    private val server = TargetServer(vertx)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @Volatile
    private var shown = HostList(hosts)

    /** Faults in force; may be changed at any time. */
    public var faults: TargetFaults by server::faults

    init {
        server.handle(routes = { it.get("/hosts") }) { it.answer(HostList.serializer(), shown) }
        server.handle(control = true, routes = { it.put("/hosts") }, answer = ::replace)
    }

    /** Replaces the list; callers see it once the lag has passed. */
    public fun change(hosts: List<ListedHost>) {
        scope.launch {
            delay(lag)
            shown = HostList(hosts)
        }
    }

    /** Listens on the loopback address at [port], any port where it is 0, and returns the port. */
    public suspend fun start(port: Int): Int = server.start(port)

    /** Stops listening and drops what runs. */
    public suspend fun stop() {
        scope.cancel()
        server.stop()
    }

    private fun replace(routing: RoutingContext) {
        val list = routing.read(HostList.serializer())
        change(list.hosts)
        routing.answer(HostList.serializer(), list)
    }
}
