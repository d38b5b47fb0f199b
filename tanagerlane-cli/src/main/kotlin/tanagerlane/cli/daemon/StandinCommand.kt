package tanagerlane.cli.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.coroutines.runBlocking
import tanagerlane.standin.engine.EngineServer
import tanagerlane.standin.engine.EngineServerSettings
import tanagerlane.standin.engine.EngineSettings
import tanagerlane.standin.service.ServiceServer
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.ObjectStoreServer

/** Groups the stand-ins for what surrounds the system. */
internal class StandinCommand : NoOpCliktCommand(name = "standin") {
    init {
        subcommands(StandinStoreCommand(), StandinEngineCommand(), StandinServiceCommand())
    }

    override fun help(context: Context): String = "Run a stand-in for the platform or a target, for trials."
}

/** Runs the object API's stand-in. */
internal class StandinStoreCommand : CliktCommand(name = "store") {
    private val port by option("--port", help = "port to listen on, 0 for any").int().default(0)

    override fun help(context: Context): String = "Run the object API in memory."

    override fun run() {
        val server = ObjectStoreServer(MemoryObjectStore(), smallVertx())
        echo("port: ${runBlocking { server.start(port) }}")
        runUntilStopped(server::stop)
    }
}

/** Runs a model engine's stand-in. */
internal class StandinEngineCommand : CliktCommand(name = "engine") {
    private val port by option("--port", help = "port to listen on, 0 for any").int().default(0)
    private val models by option("--model", help = "model that is served; may be repeated").multiple(required = true)
    private val sequences by option("--sequences", help = "most sequences that run at once").int().default(16)
    private val checksFencing by option("--checks-fencing", help = "refuse orders with an old fencing number").flag()

    override fun help(context: Context): String = "Run a simulated model engine."

    override fun run() {
        val settings =
            EngineServerSettings(
                engine = EngineSettings(maximumSequences = sequences),
                models = models,
                checksFencing = checksFencing,
            )
        val server = EngineServer(smallVertx(), settings)
        echo("port: ${runBlocking { server.start(port) }}")
        runUntilStopped(server::stop)
    }
}

/** Runs a plain service's stand-in. */
internal class StandinServiceCommand : CliktCommand(name = "service") {
    private val port by option("--port", help = "port to listen on, 0 for any").int().default(0)

    override fun help(context: Context): String = "Run a plain service that echoes calls."

    override fun run() {
        val server = ServiceServer(smallVertx())
        echo("port: ${runBlocking { server.start(port) }}")
        runUntilStopped(server::stop)
    }
}
