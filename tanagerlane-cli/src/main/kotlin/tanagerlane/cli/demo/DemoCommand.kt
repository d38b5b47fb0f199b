package tanagerlane.cli.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.cli.daemon.runUntilStopped
import tanagerlane.cli.daemon.settingsOf
import tanagerlane.cli.operator.randomBytes
import tanagerlane.configuration.ConfigurationCodec
import tanagerlane.configuration.SettingsReader
import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Inventory
import tanagerlane.keys.PresentedKey
import tanagerlane.model.Revision
import tanagerlane.store.ObjectKey
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** Runs a whole deployment in one process and sends one request of each kind. */
internal class DemoCommand : CliktCommand(name = "demo") {
    private val inventoryFile by option("--inventory", help = "inventory to run")
        .path(mustExist = true, canBeDir = false)
        .default(Path.of("examples/sporskifte/inventory.toml"))
    private val port by option("--port", help = "port for callers, 0 for any").int().default(0)
    private val serve by option("--serve", help = "stay up until interrupted").flag()

    override fun help(context: Context): String = "Run everything in one process and send a request of each kind."

    override fun run() {
        val inventory = settingsOf(inventoryFile, SettingsReader.inventory()::read)
        val deployment = LocalDeployment(inventory, ENTRIES, Vertx.vertx())
        val key = PresentedKey.of(randomBytes(PresentedKey.RANDOM_BYTES))
        runBlocking {
            start(deployment, inventory, key)
            echo("base-url: ${deployment.baseUrl(0)}")
            echo("key: ${key.text}")
            val rows = DemoRequests(deployment.baseUrl(0), key.text, inventory).send { echo(it) }
            echo(tableOf(rows))
        }
        if (serve) {
            runUntilStopped(deployment::stop)
        }
        runBlocking { deployment.stop() }
        exitProcess(0)
    }

    private suspend fun start(
        deployment: LocalDeployment,
        inventory: Inventory,
        key: PresentedKey,
    ) {
        echo("starting ${inventory.targets.size} targets with sidecars and $ENTRIES entries", err = true)
        deployment.start(port)
        val callerKey = CallerKey(key.digest(), inventory.workspaces.first().name, "demo")
        val document = Configuration(Revision(1), inventory, listOf(callerKey))
        val payload = ConfigurationCodec.encode(document)
        deployment.memoryStore
            .put(ObjectKey("configuration/current"), payload, null)
            .getOrElse { throw PrintMessage("tanagerlane: $it", statusCode = 1, printError = true) }
        withTimeoutOrNull(READY_BOUND) { deployment.awaitReady() }
            ?: throw PrintMessage("tanagerlane: not ready within $READY_BOUND", statusCode = 1, printError = true)
    }

    private fun tableOf(rows: List<DemoRow>): String {
        val width = rows.maxOf { it.request.length }
        return rows.joinToString("\n") { "${it.request.padEnd(width)}  ${it.milliseconds} ms  ${it.outcome}" }
    }

    private companion object {
        const val ENTRIES = 3
        val READY_BOUND = 30.seconds
    }
}
