package tanagerlane.direct

import io.micrometer.core.instrument.MeterRegistry
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.net.impl.ConnectionBase
import io.vertx.kotlin.coroutines.coAwait
import org.slf4j.LoggerFactory
import tanagerlane.callers.CallerBudget
import tanagerlane.callers.ConnectionBound
import tanagerlane.callers.ConnectionEnd
import tanagerlane.callers.ConnectionLimits
import tanagerlane.callers.LogQuota
import tanagerlane.serving.CallerLimits
import tanagerlane.settings.DirectSettings
import tanagerlane.wire.WireAddress
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Open connections of callers. All functions have to be called on the event loop of the process.
 *
 * @param limits limits of each connection, which may change with the configuration
 * @param bound bound on the connections at the address for callers
 */
internal class CallerConnections(
    private val vertx: Vertx,
    private val limits: () -> ConnectionLimits,
    private val budget: CallerBudget,
    private val bound: ConnectionBound,
    private val metrics: CallerMetrics,
    private val now: () -> Instant,
) {
    private val gates = HashMap<HttpConnection, CallerGate>()
    private val closing = HashSet<HttpConnection>()
    private val logQuotas = ConnectionEnd.entries.associateWith { LogQuota() }
    private var isChecking = false
    private var checkedAt = now()

    /** Open connections and the bytes that are held for them, as members of a JSON object. */
    val status: String get() = """"connections":${gates.size},"callerBytes":${budget.heldBytes}"""

    /** Whether a connection is still closing, or has a request whose answer has not been written to the socket. */
    val hasOpenRequests: Boolean get() = closing.isNotEmpty() || gates.values.any { it.hasOpenRequest }

    /** Listens on [address], and passes the requests of at most as many connections as [bound] allows to [handler]. */
    suspend fun listen(
        address: String,
        bound: ConnectionBound = this.bound,
        handler: (HttpServerRequest) -> Unit,
    ) {
        val parsed = requireNotNull(WireAddress.parse(address)) { "address is not IP:port: $address" }
        val own = LinkedHashSet<CallerGate>()
        // The first allocation loads classes for about 100 ms, for which the first request would be refused as overloaded.
        ByteBufAllocator.DEFAULT.directBuffer(FIRST_READ_BYTES).release()
        // HTTP/2 would multiplex requests past the limits of a connection.
        val options = HttpServerOptions().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setTcpNoDelay(true)
        vertx
            .createHttpServer(options.setHttp2ClearTextEnabled(false))
            .connectionHandler { opened(it, own, bound) }
            .requestHandler(handler)
            .listen(parsed.port, parsed.host)
            .coAwait()
        if (!isChecking) {
            isChecking = true
            vertx.setPeriodic(CHECK_MILLISECONDS) { checkTimes() }
        }
    }

    /** Returns the gate of [connection]. */
    fun gateOf(connection: HttpConnection): CallerGate? = gates[connection]

    /** Closes the connections without an open request; one on which nothing was sent is about to be used. */
    fun closeIdle() {
        val idle = gates.filterValues { !it.hasOpenRequest && !it.isUnused }.keys
        idle.filter { closing.add(it) }.forEach { it.close() }
    }

    /** Closes all connections. */
    fun closeAll() {
        gates.keys.toList().forEach { it.close() }
    }

    private fun opened(
        connection: HttpConnection,
        own: MutableSet<CallerGate>,
        bound: ConnectionBound,
    ) {
        val channel = (connection as ConnectionBase).channel()
        val gate = CallerGate(limits, budget, now, ::ended) { own -= it }
        channel.config().setRecvByteBufAllocator(
            AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
                .maxMessagesPerRead(1),
        )
        gates[connection] = gate
        own += gate
        metrics.connections.set(gates.size)
        connection.closeHandler {
            gates -= connection
            closing -= connection
            own -= gate
            metrics.connections.set(gates.size)
        }
        channel.pipeline().addFirst(gate)
        channel.pipeline().addBefore(VERTX_HANDLER, null, CallerMessages(gate))
        if (own.size > bound.maximum) {
            val unused = own.asSequence().filter { it.isUnused && it !== gate }.map { it to it.openedAt }
            (bound.victim(unused.asIterable(), now()) ?: gate).end(ConnectionEnd.TOO_MANY_CONNECTIONS)
        }
    }

    /** Ends connections whose time is over; if this process was held up, it first reads what has come meanwhile. */
    private fun checkTimes() {
        val now = now()
        val isLate = now - checkedAt > LATE_CHECK
        checkedAt = now
        if (isLate) {
            return
        }
        gates.values.toList().forEach { it.checkTime(now) }
    }

    private fun ended(
        gate: CallerGate,
        cause: ConnectionEnd,
    ) {
        metrics.ended(cause).increment()
        if (cause == ConnectionEnd.IDLE) {
            return
        }
        val omitted = logQuotas.getValue(cause).tryTake(now()) ?: return
        logger.warn(
            "connection of a caller ended cause={} open_request={} age={} held={} connections={} omitted_lines={}",
            cause,
            gate.hasOpenRequest,
            now() - gate.openedAt,
            budget.heldBytes,
            gates.size,
            omitted,
        )
    }

    companion object {
        /** Returns connections with the limits that [settings] and the configuration set. */
        fun of(
            vertx: Vertx,
            settings: DirectSettings,
            registry: MeterRegistry,
            configured: () -> CallerLimits?,
            now: () -> Instant,
        ): CallerConnections {
            val heapBytes = Runtime.getRuntime().maxMemory()
            val budget = CallerBudget(settings.callerBudgetBytes ?: CallerBudget.defaultBytes(heapBytes))
            val bound = ConnectionBound(settings.maximumConnections ?: ProcessLimits.maximumConnections())
            val metrics = CallerMetrics(registry, budget)
            var source = configured()
            var limits = ConnectionLimits.of(source)
            val current = {
                if (configured() != source) {
                    source = configured()
                    limits = ConnectionLimits.of(source)
                }
                limits
            }
            return CallerConnections(vertx, current, budget, bound, metrics, now)
        }

        private const val MAXIMUM_HEADER_BYTES = 65_536

        /** Name that Vert.x gives to its own handler, the last of the pipeline. */
        private const val VERTX_HANDLER = "handler"
        private const val MINIMUM_READ_BYTES = 64
        private const val FIRST_READ_BYTES = 2_048
        private const val MAXIMUM_READ_BYTES = 16_384
        private const val CHECK_MILLISECONDS = 200L

        /** Time between two checks after which callers' bytes may wait unread. */
        private val LATE_CHECK = 1.seconds
        private val logger = LoggerFactory.getLogger(CallerConnections::class.java)
    }
}
