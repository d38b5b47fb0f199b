package tanagerlane.sidecar.orders

import tanagerlane.orders.FencedOrder
import tanagerlane.orders.OrderOutcome
import kotlin.time.Duration

/**
 * Sends one order on its own connection, which is opened for the order and closed after it.
 *
 * The last argument is called immediately before the write, and nothing is written if it returns false. The duration
 * limits the time from the start to the answer.
 */
internal typealias OrderCall = suspend (FencedOrder, Duration, () -> Boolean) -> OrderOutcome
