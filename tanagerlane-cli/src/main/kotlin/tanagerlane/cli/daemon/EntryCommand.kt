package tanagerlane.cli.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import tanagerlane.configuration.SettingsReader
import tanagerlane.entry.EntryDaemon
import tanagerlane.runtime.HttpObjectStore

/** Runs an entry until it is told to stop. */
internal class EntryCommand : CliktCommand(name = "entry") {
    private val settingsFile by option("--settings", help = "TOML file of the entry's settings")
        .path(mustExist = true, canBeDir = false)
        .required()

    override fun help(context: Context): String = "Run an entry, which callers reach."

    override fun run() {
        val settings = settingsOf(settingsFile, SettingsReader.entry()::read)
        val vertx = smallVertx()
        val daemon = EntryDaemon(settings, HttpObjectStore(settings.host.objectApi, vertx), vertx)
        runDaemon(daemon::start, daemon::drainAndStop)
    }
}
