package tanagerlane.runtime

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against a signal to stop that ends a process, with what it has taken, before its start has returned. */
class ProcessLifecycleTest :
    FunSpec({
        data class Case(
            val name: String,
            val signalAt: Duration,
            val startTime: Duration,
            val canStart: Boolean = true,
            val startLimit: Duration = 5.seconds,
            val expected: List<String>,
        )

        listOf(
            Case(
                "a signal during the start stops the process once it has started",
                signalAt = 50.milliseconds,
                startTime = 300.milliseconds,
                expected = listOf("signal", "started true", "stopped", "ended"),
            ),
            Case(
                "a signal after the start stops the process",
                signalAt = 300.milliseconds,
                startTime = 50.milliseconds,
                expected = listOf("started true", "signal", "stopped", "ended"),
            ),
            Case(
                "a process that cannot start is not stopped",
                signalAt = 50.milliseconds,
                startTime = 300.milliseconds,
                canStart = false,
                expected = listOf("signal", "started false", "ended"),
            ),
            Case(
                "a start that hangs does not hold up the stop for ever",
                signalAt = 50.milliseconds,
                startTime = 700.milliseconds,
                startLimit = 100.milliseconds,
                expected = listOf("signal", "stopped", "ended", "started true"),
            ),
        ).forEach { case ->
            test(case.name) {
                val events = CopyOnWriteArrayList<String>()
                val unreported = CopyOnWriteArrayList<Duration>()
                var signalledAt = TimeSource.Monotonic.markNow()
                var hook: () -> Unit = { events += "process ended at once" }
                val lifecycle = ProcessLifecycle(case.startLimit) { hook = it }
                coroutineScope {
                    val run =
                        async(Dispatchers.IO) {
                            lifecycle.run(
                                start = {
                                    delay(case.startTime)
                                    events += "started ${case.canStart}"
                                    if (case.canStart) null else "port in use"
                                },
                                stop = { waited ->
                                    unreported += signalledAt.elapsedNow() - waited
                                    events += "stopped"
                                },
                            )
                        }
                    delay(case.signalAt)
                    events += "signal"
                    withContext(Dispatchers.IO) {
                        signalledAt = TimeSource.Monotonic.markNow()
                        hook()
                    }
                    events += "ended"
                    run.await() shouldBe if (case.canStart) null else "port in use"
                }
                events shouldBe case.expected
                unreported.forEach { it shouldBeLessThan TOLERANCE }
            }
        }
    }) {
    private companion object {
        /** Difference between two measurements of the same wait. */
        val TOLERANCE = 80.milliseconds
    }
}
