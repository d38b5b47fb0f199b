package tanagerlane.direct

import kotlinx.coroutines.delay
import tanagerlane.serving.ProcessorDelay
import kotlin.time.Duration
import kotlin.time.Instant

/** Measures the delay of this process every [interval], until cancelled. */
internal suspend fun ProcessorDelay.run(
    interval: Duration,
    now: () -> Instant,
) {
    while (true) {
        ticked(now())
        delay(interval)
    }
}
