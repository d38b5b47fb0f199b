package tanagerlane.entry

import tanagerlane.attempts.AttemptAction
import tanagerlane.attempts.AttemptEvent
import tanagerlane.idempotency.ClaimKey
import tanagerlane.idempotency.ClaimShards
import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Target
import tanagerlane.message.ChatWork
import tanagerlane.message.LoadReport
import tanagerlane.message.Repeat
import tanagerlane.message.ServiceWork
import tanagerlane.message.Work
import tanagerlane.model.FailureDomain
import tanagerlane.model.RefusalReason
import tanagerlane.model.TargetName
import tanagerlane.routing.RetryBudget
import tanagerlane.routing.Route
import tanagerlane.routing.RouteQuery
import tanagerlane.routing.Router
import tanagerlane.routing.SidecarDirectory
import kotlin.random.Random
import kotlin.time.Instant

/** Picks targets for attempts, within a budget for retries. */
internal class TargetPicker(
    failureDomain: FailureDomain,
    private val now: () -> Instant,
) {
    private val directory = SidecarDirectory()
    private val router = Router(directory, failureDomain, Random.Default)

    @Volatile
    private var targets: List<Target> = emptyList()

    @Volatile
    private var retries = RetryBudget(DEFAULT_RETRY_RATIO)

    /** Puts the targets and rules of [inventory] in force. */
    fun configure(inventory: Inventory) {
        directory.declare(inventory.targets)
        targets = inventory.targets
        retries = RetryBudget(inventory.rules.retryRatio)
    }

    /** Follows the connections to sidecars. */
    fun connectionChanged(event: AttemptEvent) {
        when (event) {
            is AttemptEvent.ConnectionOpened -> directory.connected(event.target, event.incarnation)
            is AttemptEvent.ConnectionLost -> directory.disconnected(event.target)
            else -> Unit
        }
    }

    /** Notes a sidecar's report of its load. */
    fun reported(report: LoadReport) {
        directory.reported(report, now())
    }

    /** Picks a target; each one that is picked must be given back by [finished]. */
    fun pick(
        request: OnlineRequest,
        action: AttemptAction.PickTarget,
    ): AttemptEvent {
        if (!mayTry(action.attemptNumber)) {
            return AttemptEvent.NoTarget(RefusalReason.OVERLOADED)
        }
        val query = queryOf(request, action.tried)
        val route = request.repeat?.let { home(request, it, query) } ?: router.route(query, now())
        if (route == null || route.target !in request.charge.nonces) {
            route?.let { finished(it.target) }
            return AttemptEvent.NoTarget(RefusalReason.NO_TARGET)
        }
        return AttemptEvent.TargetPicked(route.target, route.incarnation)
    }

    /** The sidecar at which repeats of the request meet, or the next in order while that one can't take work. */
    private fun home(
        request: OnlineRequest,
        repeat: Repeat,
        query: RouteQuery,
    ): Route? {
        val workspace = request.workspace ?: return null
        val shard = ClaimShards.objectOf(ClaimKey(workspace, repeat.key))
        val homes = ClaimShards.homesOf(shard, targetsFor(request.work))
        return homes.firstNotNullOfOrNull { router.routeTo(it, query, now()) }
    }

    private fun targetsFor(work: Work): List<TargetName> {
        val serving =
            when (work) {
                is ChatWork -> targets.filter { work.model in it.models }
                is ServiceWork -> targets.filter { work.service in it.services }
            }
        return serving.map { it.name }
    }

    /** Notes that an attempt on [target] is over. */
    fun finished(target: TargetName) {
        router.finished(target)
    }

    private fun mayTry(attemptNumber: Int): Boolean {
        if (attemptNumber > 1) {
            return retries.tryRetry()
        }
        retries.firstAttempt()
        return true
    }

    private fun queryOf(
        request: OnlineRequest,
        tried: Set<TargetName>,
    ): RouteQuery =
        when (val work = request.work) {
            is ChatWork -> RouteQuery.Chat(work.model, work.body, tried)
            is ServiceWork -> RouteQuery.Call(work.service, tried)
        }

    private companion object {
        const val DEFAULT_RETRY_RATIO = 0.2
    }
}
