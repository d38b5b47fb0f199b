package tanagerlane.direct

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/** Loops that run in [scope] and are restarted when they fail. */
internal class RestartingLoops(
    private val scope: CoroutineScope,
) {
    /** Runs [loop] until the process exits; an exception is logged, and the loop is restarted. */
    fun launch(
        name: String,
        loop: suspend () -> Unit,
    ): Job =
        scope.launch {
            while (true) {
                try {
                    loop()
                } catch (exception: CancellationException) {
                    throw exception
                } catch (exception: Exception) {
                    logger.error("loop failed loop={}", name, exception)
                }
                delay(RETRY_PAUSE)
            }
        }

    private companion object {
        val RETRY_PAUSE = 100.milliseconds
        val logger = LoggerFactory.getLogger(RestartingLoops::class.java)
    }
}
