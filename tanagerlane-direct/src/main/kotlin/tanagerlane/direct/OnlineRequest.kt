package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import tanagerlane.admission.WaitingDecision
import tanagerlane.message.StreamOrigin
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.PlacementRequest
import tanagerlane.quarantine.RequestIdentity
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Instant

/**
 * State of a caller's request while it is sent to one or more targets.
 *
 * @property sharedParts parts of the prompt that other requests may share
 */
internal class OnlineRequest(
    val exchange: CallerExchange,
    val id: String,
    val route: ServingRoute,
    service: ServiceName,
    val workspace: ServingWorkspace?,
    val body: Buffer,
    val deadline: Instant,
    val sharedParts: List<PromptPart>,
) {
    /** Service at whose targets the request is attempted. */
    var service: ServiceName = service

    /** Where the stream began of which the caller has a part, or null if it has none. */
    var origin: StreamOrigin? = null

    /** Targets at which the request was attempted. */
    val triedTargets = HashSet<TargetName>()

    /** Number of targets that may have run the request. */
    var possibleRuns = 0

    /** Number of targets that certainly did not run it. */
    var notRunAttempts = 0

    /** Last answer with an error after which another attempt was possible, or null. */
    var error: WholeAnswer? = null

    /** Number of the last event that was forwarded, or that the caller already had, or null. */
    var lastEvent: Long? = exchange.resumeAfter

    /** Place for the next attempt, taken before the attempt at a silent target was given up, or null. */
    var heldPlace: HeldPlace? = null

    /** Silent target with which the request last stayed, or null. */
    var silentTarget: TargetName? = null

    /** Why the request was refused for want of a place after or instead of a wait, or null. */
    var waitingRefusal: WaitingDecision.Refused? = null

    /** Identity of the request, or null unless [identify] was called. */
    var digest: RequestDigest? = null
        private set

    /** Whether the head of the answer has been sent to the caller. */
    val isAnswerStarted: Boolean get() = exchange.isAnswerStarted

    /** Returns the identity of the request, which takes time in proportion to its body when called first. */
    fun identify(): RequestDigest =
        digest ?: RequestIdentity(
            caller = workspace?.name?.text ?: exchange.key,
            method = exchange.method.name(),
            host = exchange.host,
            uri = exchange.uri,
            body = body.bytes,
            parts = sharedParts,
        ).digest().also { digest = it }

    /** Returns the request for a target to which the next attempt may be sent by [rules]. */
    fun placement(rules: TargetRules): PlacementRequest {
        val isPermitted = rules.targetsFor(route, workspace)
        val mayUse =
            if (origin == null) {
                isPermitted
            } else {
                { isPermitted(it) && rules.mayContinue(this, it) }
            }
        return PlacementRequest(service, triedTargets, mayUse)
    }
}
