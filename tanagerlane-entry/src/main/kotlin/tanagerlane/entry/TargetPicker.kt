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

/** Picks targets for attempts and limits retries to a budget. */
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

    /** Applies the targets and the retry ratio of [inventory]. */
    fun configure(inventory: Inventory) {
        directory.declare(inventory.targets)
        targets = inventory.targets
        retries = RetryBudget(inventory.rules.retryRatio)
    }

    /** Records that a connection to a sidecar opened or was lost; other events are ignored. */
    fun connectionChanged(event: AttemptEvent) {
        when (event) {
            is AttemptEvent.ConnectionOpened -> directory.connected(event.target, event.incarnation)
            is AttemptEvent.ConnectionLost -> directory.disconnected(event.target)
            else -> Unit
        }
    }

    /** Records a sidecar's load report. */
    fun reported(report: LoadReport) {
        directory.reported(report, now())
    }

    /** Picks a target; [finished] must be called once for each one that is picked. */
    fun pick(
        request: OnlineRequest,
        action: AttemptAction.PickTarget,
    ): AttemptEvent {
        if (!isWithinRetryBudget(action.attemptNumber)) {
            return AttemptEvent.NoTarget(RefusalReason.OVERLOADED)
        }
        val query = queryOf(request, action.tried)
        val route = request.repeat?.let { routeByKey(request, it, query) } ?: router.route(query, now())
        if (route == null || route.target !in request.charge.nonces) {
            route?.let { finished(it.target) }
            return AttemptEvent.NoTarget(RefusalReason.NO_TARGET)
        }
        return AttemptEvent.TargetPicked(route.target, route.incarnation)
    }

    /**
     * Returns the route to the home of the idempotency key, to which all repeats of the request are sent.
     *
     * If the home cannot take work, the route leads to the next target in order.
     */
    private fun routeByKey(
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

    /** Records that an attempt on [target] has ended. */
    fun finished(target: TargetName) {
        router.finished(target)
    }

    private fun isWithinRetryBudget(attemptNumber: Int): Boolean {
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
        /** Retries that each first attempt adds to the budget until a configuration is in force. */
        const val DEFAULT_RETRY_RATIO = 0.2
    }
}
