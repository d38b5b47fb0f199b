package tanagerlane.refusals

import kotlin.time.Instant

/**
 * A refusal that was counted here and whose caller has not heard it yet.
 *
 * @property respondBy when the caller hears it although no peer has it
 */
public data class RefusalTicket(
    val number: Long,
    val refusal: Refusal,
    val respondBy: Instant,
)
