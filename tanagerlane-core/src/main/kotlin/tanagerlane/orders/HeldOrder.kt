package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An order that this process has claimed.
 *
 * @property version version of the object at the claim, used as the fencing number
 * @property sendDeadline latest time, on this process's clock, at which a call still ends before the lease does
 * @property leaseEnd end of the lease on this process's clock
 */
public data class HeldOrder(
    val order: StoredOrder,
    val version: ObjectVersion,
    val sendDeadline: Instant,
    val leaseEnd: Instant,
) {
    /** The order in the form that is sent to the target. */
    public val fenced: FencedOrder
        get() =
            FencedOrder(
                fencing = version.number,
                model = order.wanted.model,
                adapter = order.wanted.adapter,
                version = order.wanted.version,
                role = order.wanted.role,
            )

    /**
     * Returns whether the order may be written to the target at [now].
     *
     * Must be called right before the write, on a connection opened after the claim. One race remains with a target
     * that ignores fencing numbers: if the process is frozen between this check and its write, or the written bytes are
     * delayed in transit, for longer than the rest of the term, the write can still reach the target after that of the
     * next holder. A target that checks the number refuses such a write.
     */
    public fun maySend(now: Instant): Boolean = now <= sendDeadline

    /**
     * Returns how long to wait before the next claim after [outcome].
     *
     * A write without an answer may still be in transit. A target that ignores fencing numbers would accept two writes
     * in either sequence, so the next one is sent after the term, as another holder's would be.
     */
    public fun delayAfter(
        outcome: OrderOutcome,
        checksFencing: Boolean,
        now: Instant,
    ): Duration = if (outcome == OrderOutcome.Unknown && !checksFencing) leaseEnd - now else Duration.ZERO

    /** Returns the order to store after [outcome], or null when the order has yet to be carried out. */
    public fun orderAfter(outcome: OrderOutcome): StoredOrder? =
        when (outcome) {
            OrderOutcome.Taken -> order.copy(phase = OrderPhase.APPLIED)
            is OrderOutcome.Refused -> order.copy(phase = OrderPhase.REFUSED, refusal = outcome.refusal)
            OrderOutcome.NotSent, OrderOutcome.Unknown -> null
        }
}
