package tanagerlane.cli.experiment

import tanagerlane.queueing.QueueSettings
import tanagerlane.standin.engine.EngineSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * One run of an experiment.
 *
 * @property online online requests in order of arrival
 * @property batch makes the next batch item; null for a run without batch
 * @property yielding whether batch goes through the queue; else all work goes to the engine as it comes
 * @property fair whether workspaces are kept apart; else they share one line
 */
internal data class QueueingScenario(
    val online: List<QueueingArrival> = emptyList(),
    val batch: (() -> QueueingArrival)? = null,
    val yielding: Boolean = true,
    val fair: Boolean = true,
    val length: Duration = LENGTH,
    val engine: EngineSettings = ENGINE,
    val queue: QueueSettings = QUEUE,
    val onlineDeadline: Duration = 10.seconds,
) {
    companion object {
        const val WINDOW = 16
        val LENGTH = 30.minutes
        val ENGINE =
            EngineSettings(
                maximumSequences = WINDOW,
                stepTime = 20.milliseconds,
                sequenceTime = 150.microseconds,
                prefillTime = 50.microseconds,
                prefillTokensPerStep = 512,
            )
        val QUEUE =
            QueueSettings(
                window = WINDOW,
                tokenBudget = WINDOW * 1024,
                workspaceEntries = 10_000,
            )
    }
}
