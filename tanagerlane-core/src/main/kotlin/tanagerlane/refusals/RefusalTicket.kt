package tanagerlane.refusals

import kotlin.time.Instant

/**
 * A counted refusal that its caller has not received yet.
 *
 * @property respondBy time at which the caller receives it even if no peer has a copy
 */
public data class RefusalTicket(
    val number: Long,
    val refusal: Refusal,
    val respondBy: Instant,
)
