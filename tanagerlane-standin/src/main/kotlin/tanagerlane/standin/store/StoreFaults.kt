package tanagerlane.standin.store

import kotlin.time.Duration

/**
 * Faults of the object API that are switched on.
 *
 * @property down whether every call fails without effect
 * @property loseAnswers whether writes take effect but their answers are lost
 * @property delay time that each call waits first
 */
public data class StoreFaults(
    val down: Boolean = false,
    val loseAnswers: Boolean = false,
    val delay: Duration = Duration.ZERO,
)
