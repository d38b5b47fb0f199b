package tanagerlane.cli.experiment

import tanagerlane.limits.Limit

/**
 * A way to keep rates on several entries.
 *
 * @property start prepares it; the function that it returns decides for one request
 */
internal data class LimitsMechanism(
    val name: String,
    val start: (ExperimentFleet) -> AdmissionDecider,
)

/** Decides for a request of a limit's key at an entry, given by its number; the outcome may come later. */
internal typealias AdmissionDecider = (entry: Int, limit: Limit, outcome: (Boolean) -> Unit) -> Unit

/** Every entry has a part of each rate and burst to itself. */
internal fun localLimits(
    name: String,
    part: (entries: Int) -> Double,
): LimitsMechanism =
    LimitsMechanism(name) { fleet ->
        val factor = part(fleet.entries)
        val buckets =
            List(fleet.entries) {
                fleet.limits.associateWith { limit ->
                    SimpleBucket(limit.rate.perSecond * factor, limit.rate.burst * factor, fleet.time.now)
                }
            }
        val decide: AdmissionDecider = { entry, limit, outcome ->
            outcome(buckets[entry].getValue(limit).take(fleet.time.now))
        }
        decide
    }
