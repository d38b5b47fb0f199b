package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import tanagerlane.cli.daemon.settingsOf
import tanagerlane.configuration.DifferenceKind
import tanagerlane.configuration.InventoryDifference
import tanagerlane.configuration.SettingsReader
import tanagerlane.inventory.Inventory
import tanagerlane.model.Revision

/** Groups the commands on inventories. */
internal class InventoryCommand(
    openStore: StoreFactory,
) : NoOpCliktCommand(name = "inventory") {
    init {
        subcommands(
            InventoryValidateCommand(),
            InventoryDiffCommand(openStore),
            InventoryApplyCommand(openStore),
            InventoryShowCommand(openStore),
        )
    }

    override fun help(context: Context): String = "Check, compare, apply and show the inventory."
}

private class InventoryValidateCommand : CliktCommand(name = "validate") {
    private val file by argument("file", help = "TOML file of the inventory").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Check an inventory and show all its faults."

    override fun run() {
        val inventory = settingsOf(file, SettingsReader.inventory()::read)
        echo("$file: valid, ${inventory.targets.size} targets, ${inventory.workspaces.size} workspaces")
    }
}

private class InventoryDiffCommand(
    openStore: StoreFactory,
) : OperatorCommand("diff", openStore) {
    private val file by argument("file", help = "TOML file of the inventory").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String =
        "Show what applying an inventory would change, and the base to apply it on."

    override suspend fun execute() {
        val inventory = settingsOf(file, SettingsReader.inventory()::read)
        val current = configurations.read().orFail().configuration
        InventoryDifference.between(current.inventory, inventory).forEach { echo(lineOf(it)) }
        echo("base: ${current.revision}")
    }
}

private class InventoryApplyCommand(
    openStore: StoreFactory,
) : OperatorCommand("apply", openStore) {
    private val file by argument("file", help = "TOML file of the inventory").path(mustExist = true, canBeDir = false)
    private val base by option(
        "--base",
        help = "revision that inventory diff showed; refused if the inventory changed since",
    ).long()
    private val confirm by confirmOption()

    override fun help(context: Context): String =
        "Check an inventory and put it in force; nothing is applied if it has a fault."

    override suspend fun execute() {
        val inventory = settingsOf(file, SettingsReader.inventory()::read)
        val before =
            configurations
                .read()
                .get()
                ?.configuration
                ?.inventory ?: EMPTY
        val revision = configurations.applyInventory(inventory, base?.let { Revision(it) }).orFail()
        confirm?.let { configurations.awaitConfirmation(revision, it).orFail() }
        InventoryDifference.between(before, inventory).forEach { echo(lineOf(it)) }
        echo("revision: $revision")
    }

    private companion object {
        val EMPTY = Inventory(deployment = "", sites = emptyList(), targets = emptyList(), workspaces = emptyList())
    }
}

private class InventoryShowCommand(
    openStore: StoreFactory,
) : OperatorCommand("show", openStore) {
    override fun help(context: Context): String = "Show the inventory in force as JSON."

    override suspend fun execute() {
        val inventory =
            configurations
                .read()
                .orFail()
                .configuration.inventory
        echo(FORMAT.encodeToString(Inventory.serializer(), inventory))
    }

    private companion object {
        val FORMAT = Json { prettyPrint = true }
    }
}

private fun lineOf(difference: InventoryDifference): String {
    val sign =
        when (difference.kind) {
            DifferenceKind.ADDED -> "+"
            DifferenceKind.REMOVED -> "-"
            DifferenceKind.CHANGED -> "~"
        }
    return "$sign ${difference.part} ${difference.name}".trimEnd()
}
