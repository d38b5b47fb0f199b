package tanagerlane.orders

/** What became of one call to a target. */
public sealed interface OrderOutcome {
    /** The target took the order. */
    public data object Taken : OrderOutcome

    /** The target refused the order for good. */
    public data class Refused(
        val refusal: OrderRefusal,
    ) : OrderOutcome

    /** Nothing was written to the target. */
    public data object NotSent : OrderOutcome

    /** The order was written and its answer was lost. */
    public data object Unknown : OrderOutcome
}
