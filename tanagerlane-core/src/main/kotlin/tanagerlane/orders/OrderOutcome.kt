package tanagerlane.orders

/** Outcome of one call to a target. */
public sealed interface OrderOutcome {
    /** The target accepted the order. */
    public data object Taken : OrderOutcome

    /** The target refused the order permanently. */
    public data class Refused(
        val refusal: OrderRefusal,
    ) : OrderOutcome

    /** Nothing was written to the target. */
    public data object NotSent : OrderOutcome

    /** The order was written but no usable answer arrived, so it is unknown whether the target applied it. */
    public data object Unknown : OrderOutcome
}
