package tanagerlane.orders

import kotlin.time.Duration

/** What a process does next about its target's order. */
public sealed interface OrderStep {
    /** There is nothing to carry out. */
    public data object Idle : OrderStep

    /** Another holder may still be sending; look again after [remaining]. */
    public data class Wait(
        val remaining: Duration,
    ) : OrderStep

    /** Write [order] under the condition that the version is still the one that was seen. */
    public data class Claim(
        val order: StoredOrder,
    ) : OrderStep
}
