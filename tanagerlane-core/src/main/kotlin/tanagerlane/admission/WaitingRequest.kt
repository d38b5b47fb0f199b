package tanagerlane.admission

import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A request for which a place at a target is wanted.
 *
 * @property number unique among the requests of this process
 * @property route name of its route; durations are learned for each route
 * @property weight share of its workspace relative to the others; greater than 0
 * @property priority 0 is the highest
 * @property arrivedAt time at which the caller's request arrived at this process
 * @property objective time after the arrival within which the answer should begin
 * @property deadline time at which the caller gives up
 * @property bytes size of its body
 * @property mayRefuse whether it certainly has not run, so that a refusal as "not run" is true
 * @property mayBeRetry whether its time is shorter than its route allows, as that of a retry is
 */
public data class WaitingRequest(
    val number: Long,
    val service: ServiceName,
    val route: String,
    val workspace: WorkspaceName?,
    val weight: Double,
    val priority: Int,
    val arrivedAt: Instant,
    val objective: Duration,
    val deadline: Instant,
    val bytes: Int,
    val mayRefuse: Boolean = true,
    val mayBeRetry: Boolean = false,
) {
    /** Time up to which the answer can begin within the objective. */
    internal val dueAt: Instant get() = arrivedAt + objective
}
