package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An order that this process has claimed.
 *
 * @property version version of the object at the claim, which is the fencing number
 * @property sendDeadline latest time, on this process's clock, at which a call still ends before the lease does
 * @property leaseEnd end of the lease on this process's clock
 */
public data class HeldOrder(
    val order: StoredOrder,
    val version: ObjectVersion,
    val sendDeadline: Instant,
    val leaseEnd: Instant,
) {
    /** What the target gets. */
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
     * To be asked right before the write, on a connection opened after the claim. What remains with a target that
     * ignores fencing numbers: a process that is frozen between this check and its write, or whose written bytes are
     * held up on the way, for longer than the rest of the term can still reach the target after a taker has. Where the
     * target checks the number, it refuses such a write.
     */
    public fun maySend(now: Instant): Boolean = now <= sendDeadline

    /**
     * Returns how long to keep from the next claim after [outcome].
     *
     * A write without an answer may still be on its way, so the next one to a target that would take them in either
     * sequence comes after the term, as that of another holder would.
     */
    public fun delayAfter(
        outcome: OrderOutcome,
        checksFencing: Boolean,
        now: Instant,
    ): Duration = if (outcome == OrderOutcome.Unknown && !checksFencing) leaseEnd - now else Duration.ZERO

    /** Returns what to store after [outcome]; null while the order is still to be carried out. */
    public fun orderAfter(outcome: OrderOutcome): StoredOrder? =
        when (outcome) {
            OrderOutcome.Taken -> order.copy(phase = OrderPhase.APPLIED)
            is OrderOutcome.Refused -> order.copy(phase = OrderPhase.REFUSED, refusal = outcome.refusal)
            OrderOutcome.NotSent, OrderOutcome.Unknown -> null
        }
}
