package tanagerlane.serving

import kotlin.time.Duration

/**
 * What a batch route promises.
 *
 * @property due time after the submission within which results are wanted
 * @property retention time after the submission from which items without a result may be given up
 * @property maximumTokens most tokens of a workspace that may wait on the route, or 0 for no limit
 */
public data class JobTerms(
    val due: Duration,
    val retention: Duration,
    val maximumTokens: Long,
)
