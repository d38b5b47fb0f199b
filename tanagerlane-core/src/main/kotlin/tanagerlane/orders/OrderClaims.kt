package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides when a process may claim the orders of its target.
 *
 * A target that ignores fencing numbers is protected by the lease alone, so another process waits for the whole term
 * before it claims. If the target checks them, a later incarnation of the holder's own host claims at once. Another
 * host still waits, so that two live hosts do not take the order from each other endlessly.
 */
public class OrderClaims(
    private val holder: OrderHolder,
    private val times: OrderLeaseTimes,
) {
    /** Returns the next step for [order] as it was read; [observation] is that of the version read with it. */
    public fun nextStep(
        order: StoredOrder,
        observation: OrderObservation,
        checksFencing: Boolean,
        now: Instant,
    ): OrderStep {
        if (order.phase != OrderPhase.WANTED) {
            return OrderStep.Idle
        }
        val remaining = remainingTerm(order.lease, observation, checksFencing, now)
        return if (remaining > Duration.ZERO) OrderStep.Wait(remaining) else OrderStep.Claim(withClaim(order))
    }

    private fun remainingTerm(
        lease: OrderLease?,
        observation: OrderObservation,
        checksFencing: Boolean,
        now: Instant,
    ): Duration =
        when {
            lease == null || lease.holder == holder -> Duration.ZERO
            checksFencing && isEarlierIncarnation(lease.holder) -> Duration.ZERO
            else -> observation.remaining(lease.term, now)
        }

    private fun isEarlierIncarnation(other: OrderHolder): Boolean =
        other.host == holder.host && other.incarnation.number < holder.incarnation.number

    private fun withClaim(order: StoredOrder): StoredOrder {
        val claims = (order.lease?.claims ?: 0) + 1
        return order.copy(lease = OrderLease(holder, claims, times.term))
    }

    /** Returns the claim of [order] that was stored as [version] by a write that began at [writeStartedAt]. */
    public fun heldOrder(
        order: StoredOrder,
        version: ObjectVersion,
        writeStartedAt: Instant,
    ): HeldOrder {
        val leaseEnd = writeStartedAt + times.term
        return HeldOrder(
            order,
            version,
            sendDeadline = leaseEnd - times.clockDriftMargin - times.callTimeout,
            leaseEnd = leaseEnd,
        )
    }
}
