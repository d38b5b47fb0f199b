package tanagerlane.runtime

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs a process from its start until it is told to stop.
 *
 * A signal to stop can arrive as soon as the process listens, so it is handled from before the start.
 *
 * @param startLimit time for which a stop waits for a start that is under way
 * @param addShutdownHook registers what is to be done before the process exits
 */
public class ProcessLifecycle(
    private val startLimit: Duration = START_LIMIT,
    private val addShutdownHook: (() -> Unit) -> Unit = ::addRuntimeHook,
) {
    /**
     * Starts the process, and returns once it was told to stop and [stop] has returned.
     *
     * @param start starts the process and returns why it could not, or null
     * @param stop stops the process; its parameter is the time for which the signal has waited for the start
     * @return what [start] has returned; at once if the process was not started
     */
    public suspend fun <F : Any> run(
        start: suspend () -> F?,
        stop: suspend (waited: Duration) -> Unit,
    ): F? {
        val started = CompletableDeferred<Boolean>()
        val stopped = CompletableDeferred<Unit>()
        addShutdownHook {
            val signalledAt = TimeSource.Monotonic.markNow()
            try {
                runBlocking {
                    val isStarted = withTimeoutOrNull(startLimit) { started.await() } ?: true
                    if (isStarted) stop(signalledAt.elapsedNow())
                }
            } finally {
                stopped.complete(Unit)
            }
        }
        try {
            val fault = start()
            started.complete(fault == null)
            if (fault == null) {
                stopped.await()
            }
            return fault
        } finally {
            started.complete(false)
        }
    }

    private companion object {
        val START_LIMIT = 2.seconds

        fun addRuntimeHook(action: () -> Unit) {
            Runtime.getRuntime().addShutdownHook(thread(start = false, name = "drain") { action() })
        }
    }
}
