package tanagerlane.cli.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.minutes

/** Prints the experiment on queueing. */
internal class QueueingCommand : CliktCommand(name = "queueing") {
    private val seed by option(help = "Seed of the arrivals").long().default(1)
    private val minutes by option(help = "Virtual minutes of each run").int().default(DEFAULT_MINUTES)

    private val sequenceMicroseconds by option(help = "Microseconds that each further sequence adds to a step")
        .long()
        .default(QueueingScenario.ENGINE.sequenceTime.inWholeMicroseconds)

    override fun help(context: Context): String =
        "Measures online latency, batch throughput and fairness on a simulated engine in virtual time."

    override fun run() {
        val engine = QueueingScenario.ENGINE.copy(sequenceTime = sequenceMicroseconds.microseconds)
        echo(queueingExperiment(seed, QueueingScenario(length = minutes.minutes, engine = engine)).table())
    }

    private companion object {
        const val DEFAULT_MINUTES = 30
    }
}
