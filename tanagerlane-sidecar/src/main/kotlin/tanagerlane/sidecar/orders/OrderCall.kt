package tanagerlane.sidecar.orders

import tanagerlane.orders.FencedOrder
import tanagerlane.orders.OrderOutcome
import kotlin.time.Duration

/**
 * Sends one order on a connection of its own, which is opened for it and closed after it.
 *
 * The last argument is asked right before the write, and nothing is written when it returns false; the duration bounds
 * the time from the start to the answer.
 */
internal typealias OrderCall = suspend (FencedOrder, Duration, () -> Boolean) -> OrderOutcome
