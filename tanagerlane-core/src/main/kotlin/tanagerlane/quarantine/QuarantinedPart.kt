package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import kotlin.time.Instant

/**
 * A part of prompts whose requests are refused, because targets crashed when they began to answer such requests.
 *
 * @property crashes number of crashes that the part explains
 * @property until time from which requests with the part are sent to targets again
 */
public data class QuarantinedPart(
    val part: PromptPart,
    val crashes: Int,
    val until: Instant,
)
