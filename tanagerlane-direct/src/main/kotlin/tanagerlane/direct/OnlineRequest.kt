package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Instant

/** A caller's request on its way through one or more targets. */
internal class OnlineRequest(
    val exchange: CallerExchange,
    val id: String,
    val route: ServingRoute,
    val service: ServiceName,
    val workspace: ServingWorkspace?,
    val body: Buffer,
    val deadline: Instant,
) {
    /** Targets that were called. */
    val tried = HashSet<TargetName>()

    /** Targets that may have run the request. */
    var handed = 0

    /** Targets that certainly did not run it. */
    var refusals = 0

    /** Number of the last event that was passed on, or that the caller had before, or null. */
    var lastEvent: Long? = exchange.resumeAfter

    /** Whether something of the answer has been sent to the caller. */
    val hasBegun: Boolean get() = exchange.isAnswerStarted
}
