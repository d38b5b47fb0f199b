package tanagerlane.cli.daemon

import com.github.ajalt.clikt.core.PrintMessage
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.coroutines.runBlocking
import tanagerlane.configuration.SettingsFault
import tanagerlane.runtime.ProcessLifecycle
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireFault
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.io.path.readText

/** Vert.x with few threads, for a process that shares its host. */
internal fun smallVertx(): Vertx =
    Vertx.vertx(
        VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(2)
            .setInternalBlockingPoolSize(2),
    )

/** Reads the settings in [file] by [read]; every fault is shown in a line of its own. */
internal fun <T> settingsOf(
    file: Path,
    read: (String, String) -> Result<T, List<SettingsFault>>,
): T =
    read(file.toString(), file.readText()).getOrElse { faults ->
        val lines = faults.joinToString("\n") { "${it.location}: ${it.reason}" }
        throw PrintMessage(lines, statusCode = 1, printError = true)
    }

/** Waits until the process is asked to end, then calls [drain] before it does. */
internal fun runUntilStopped(drain: suspend () -> Unit) {
    val stopped = CountDownLatch(1)
    val hook =
        thread(start = false, name = "drain") {
            runBlocking { drain() }
            stopped.countDown()
        }
    Runtime.getRuntime().addShutdownHook(hook)
    stopped.await()
}

/**
 * Runs a daemon from its [start] until it is told to stop.
 *
 * Ends the command if the daemon cannot listen, so that its supervisor can start it again.
 */
internal fun runDaemon(
    start: suspend () -> Result<WireAddress, WireFault>,
    stop: suspend () -> Unit,
) {
    val fault = runBlocking { ProcessLifecycle().run({ faultOf(start) }) { stop() } }
    if (fault != null) {
        throw PrintMessage("tanagerlane: could not start: $fault", statusCode = 1, printError = true)
    }
}

private suspend fun faultOf(start: suspend () -> Result<WireAddress, WireFault>): Any? =
    try {
        start().fold({ null }, { it })
    } catch (exception: IOException) {
        exception
    }
