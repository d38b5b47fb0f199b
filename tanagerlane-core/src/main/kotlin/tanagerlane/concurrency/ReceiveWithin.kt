package tanagerlane.concurrency

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ChannelResult
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

/**
 * Receives an element or the end of the channel, or returns null if there is neither within [timeout].
 *
 * Unlike `withTimeoutOrNull`, it never loses an element that is sent just when the time is over.
 */
@OptIn(ExperimentalCoroutinesApi::class)
public suspend fun <T : Any> ReceiveChannel<T>.receiveCatchingWithin(timeout: Duration): ChannelResult<T>? =
    select {
        onReceiveCatching { it }
        onTimeout(timeout) { null }
    }
