package tanagerlane.standin.engine

/** Orders in the sequence in which the engine took them. */
internal class OrderBook(
    private val checksFencing: Boolean,
) {
    private val taken = ArrayList<EngineOrder>()
    private var current = EngineOrder(fencing = 0)

    /** Orders that took effect. */
    val applied: List<EngineOrder> get() = synchronized(this) { taken.toList() }

    /** What all orders so far amount to. */
    val state: EngineOrder get() = synchronized(this) { current }

    /** Applies [order]; returns false when its fencing number is old and checked. */
    fun apply(order: EngineOrder): Boolean =
        synchronized(this) {
            val refused = checksFencing && order.fencing < current.fencing
            if (!refused) {
                taken.add(order)
                current = merge(order)
            }
            !refused
        }

    private fun merge(order: EngineOrder): EngineOrder =
        EngineOrder(
            fencing = order.fencing,
            model = order.model ?: current.model,
            adapter = order.adapter ?: current.adapter,
            version = order.version ?: current.version,
            role = order.role ?: current.role,
        )
}
