package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides when one process may claim its target's orders.
 *
 * A target that ignores fencing numbers is protected by the lease alone, so a taker waits out the whole term. Where the
 * target checks them, a later incarnation of the holder's own host claims at once; another host waits all the
 * same, lest two live hosts take the order from each other without end.
 */
public class OrderClaims(
    private val holder: OrderHolder,
    private val times: OrderLeaseTimes,
) {
    /** Decides on [order] as it was read; [observation] is of the version that was read with it. */
    public fun nextStep(
        order: StoredOrder,
        observation: OrderObservation,
        checksFencing: Boolean,
        now: Instant,
    ): OrderStep {
        if (order.phase != OrderPhase.WANTED) {
            return OrderStep.Idle
        }
        val remaining = remainingOf(order.lease, observation, checksFencing, now)
        return if (remaining > Duration.ZERO) OrderStep.Wait(remaining) else OrderStep.Claim(claimed(order))
    }

    private fun remainingOf(
        lease: OrderLease?,
        observation: OrderObservation,
        checksFencing: Boolean,
        now: Instant,
    ): Duration =
        when {
            lease == null || lease.holder == holder -> Duration.ZERO
            checksFencing && isEarlier(lease.holder) -> Duration.ZERO
            else -> observation.remaining(lease.term, now)
        }

    private fun isEarlier(other: OrderHolder): Boolean =
        other.host == holder.host && other.incarnation.number < holder.incarnation.number

    private fun claimed(order: StoredOrder): StoredOrder {
        val claims = (order.lease?.claims ?: 0) + 1
        return order.copy(lease = OrderLease(holder, claims, times.term))
    }

    /** Takes up a claim that was stored as [version] by a write that began at [writeStartedAt]. */
    public fun heldOrder(
        order: StoredOrder,
        version: ObjectVersion,
        writeStartedAt: Instant,
    ): HeldOrder {
        val end = writeStartedAt + times.term
        return HeldOrder(
            order,
            version,
            sendDeadline = end - times.clockDriftMargin - times.callTimeout,
            leaseEnd = end,
        )
    }
}
