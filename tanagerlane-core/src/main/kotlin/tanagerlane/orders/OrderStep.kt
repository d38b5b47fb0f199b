package tanagerlane.orders

import kotlin.time.Duration

/** Next step of a process for the order of its target. */
public sealed interface OrderStep {
    /** No order is pending. */
    public data object Idle : OrderStep

    /** Another holder may still be sending; check again after [remaining]. */
    public data class Wait(
        val remaining: Duration,
    ) : OrderStep

    /** Write [order] on condition that the stored version is still the one that was observed. */
    public data class Claim(
        val order: StoredOrder,
    ) : OrderStep
}
