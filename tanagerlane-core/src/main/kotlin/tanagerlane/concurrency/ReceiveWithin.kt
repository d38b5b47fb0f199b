package tanagerlane.concurrency

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Duration

/**
 * Receives an element, or returns null if there is none within [timeout].
 *
 * Unlike `withTimeoutOrNull`, which creates an exception for each timeout, it is cheap where timeouts are the rule.
 */
@OptIn(ExperimentalCoroutinesApi::class)
public suspend fun <T : Any> ReceiveChannel<T>.receiveWithin(timeout: Duration): T? =
    select {
        onReceive { it }
        onTimeout(timeout) { null }
    }
