package tanagerlane.cli.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import tanagerlane.configuration.SettingsReader
import tanagerlane.runtime.HttpObjectStore
import tanagerlane.sidecar.SidecarDaemon

/** Runs a sidecar until it is told to stop. */
internal class SidecarCommand : CliktCommand(name = "sidecar") {
    private val settingsFile by option("--settings", help = "TOML file of the sidecar's settings")
        .path(mustExist = true, canBeDir = false)
        .required()

    override fun help(context: Context): String = "Run a sidecar, which stands beside one target."

    override fun run() {
        val settings = settingsOf(settingsFile, SettingsReader.sidecar()::read)
        val vertx = smallVertx()
        val daemon = SidecarDaemon(settings, HttpObjectStore(settings.host.objectApi, vertx), vertx)
        runDaemon(daemon::start, daemon::drainAndStop)
    }
}
