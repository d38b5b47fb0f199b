package tanagerlane.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import tanagerlane.cli.caller.JobCommand
import tanagerlane.cli.daemon.EntryCommand
import tanagerlane.cli.daemon.SidecarCommand
import tanagerlane.cli.daemon.StandinCommand
import tanagerlane.cli.daemon.smallVertx
import tanagerlane.cli.demo.DemoCommand
import tanagerlane.cli.experiment.LimitsCommand
import tanagerlane.cli.experiment.QueueingCommand
import tanagerlane.cli.operator.InventoryCommand
import tanagerlane.cli.operator.KeyCommand
import tanagerlane.cli.operator.OrderCommand
import tanagerlane.cli.operator.RefusalsCommand
import tanagerlane.cli.operator.StatusCommand
import tanagerlane.cli.operator.StoreFactory
import tanagerlane.runtime.HttpObjectStore
import kotlin.system.exitProcess

/** Runs the command line. */
public fun main(arguments: Array<String>) {
    val root = rootCommand { HttpObjectStore(it, smallVertx()) }
    try {
        root.parse(arguments)
    } catch (error: CliktError) {
        show(root, error)
        exitProcess(error.statusCode)
    }
    exitProcess(0)
}

/** The whole command line; [openStore] opens the object API for operators' commands. */
internal fun rootCommand(openStore: StoreFactory): CliktCommand =
    RootCommand().subcommands(
        InventoryCommand(openStore),
        KeyCommand(openStore),
        OrderCommand(openStore),
        StatusCommand(openStore),
        RefusalsCommand(openStore),
        JobCommand(),
        EntryCommand(),
        SidecarCommand(),
        StandinCommand(),
        DemoCommand(),
        QueueingCommand(),
        LimitsCommand(),
    )

/** Shows a wrong use as one line for each fault, and anything else as Clikt does. */
private fun show(
    root: CliktCommand,
    error: CliktError,
) {
    if (error is UsageError) {
        val lines =
            root
                .getFormattedHelp(error)
                .orEmpty()
                .lines()
                .filter { it.startsWith(USAGE_FAULT) }
        lines.forEach { System.err.println("tanagerlane: ${it.removePrefix(USAGE_FAULT)}") }
    } else {
        root.echoFormattedHelp(error)
    }
}

private const val USAGE_FAULT = "Error: "

private class RootCommand : NoOpCliktCommand(name = "tanagerlane") {
    override fun help(context: Context): String = "Serve online and batch inference on one fleet."
}
