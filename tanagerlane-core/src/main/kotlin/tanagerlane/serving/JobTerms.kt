package tanagerlane.serving

import kotlin.time.Duration

/**
 * Time limits and quota of the jobs of a batch route.
 *
 * @property due time after the submission by which the results are wanted
 * @property retention time after the submission from which items without a result may be given up
 * @property maximumTokens maximum number of tokens that one workspace may have pending on the route, or 0 for no limit
 */
public data class JobTerms(
    val due: Duration,
    val retention: Duration,
    val maximumTokens: Long,
)
