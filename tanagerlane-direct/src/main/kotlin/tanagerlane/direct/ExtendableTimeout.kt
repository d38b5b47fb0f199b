package tanagerlane.direct

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Runs [block]; cancels it and returns null if it is not done within [timeout] and the extensions.
 *
 * @param extension called whenever the time is over; returns the further time for [block], or null if there is none
 */
internal suspend fun <T : Any> withExtendableTimeout(
    timeout: Duration,
    extension: () -> Duration?,
    block: suspend () -> T,
): T? =
    coroutineScope {
        val result = async(start = CoroutineStart.UNDISPATCHED) { block() }
        var time: Duration? = timeout
        while (time != null) {
            withTimeoutOrNull(time) { result.join() }
            if (result.isCompleted) return@coroutineScope result.await()
            time = extension()
        }
        result.cancel()
        null
    }
