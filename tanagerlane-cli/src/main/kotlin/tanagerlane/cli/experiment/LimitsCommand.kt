package tanagerlane.cli.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int

/** Prints the experiment on rate limits. */
internal class LimitsCommand : CliktCommand(name = "limits") {
    private val seed by option(help = "Seed of the arrivals").int().default(1)

    override fun help(context: Context): String =
        "Measures wrongful refusals and overruns of rate limits on three entries in virtual time."

    override fun run() {
        echo(limitsExperiment(seed).table())
    }
}
