package tanagerlane.scenario

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * One process of a scenario.
 *
 * @param arguments command line after the program's name
 */
class DaemonProcess(
    val name: String,
    private val folder: Path,
    private val arguments: List<String>,
    private val memory: List<String>,
) {
    private val output: File = folder.resolve("$name.log").toFile()
    private var process: Process = launch()

    val isAlive: Boolean get() = process.isAlive

    /** What the process has written so far. */
    val log: String get() = output.readText()

    /** Ends the process by SIGKILL. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Ends the process by SIGTERM and waits for its end. */
    fun stop() {
        process.destroy()
        check(process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) { "$name has not stopped; its log:\n$log" }
    }

    /** Halts all its threads by SIGSTOP. */
    fun freeze() = signal("-STOP")

    /** Lets it go on after [freeze]. */
    fun thaw() = signal("-CONT")

    /** Starts the program again with the same command line, once the earlier process has ended. */
    fun startAgain() {
        check(!process.isAlive) { "$name still runs" }
        process = launch()
    }

    private fun signal(signal: String) {
        val exit = ProcessBuilder("kill", signal, process.pid().toString()).start().waitFor()
        check(exit == 0) { "kill $signal of $name gave $exit" }
    }

    private fun launch(): Process =
        ProcessBuilder(command())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
            .start()

    private fun command(): List<String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        return listOf(java) + memory + listOf("-cp", System.getProperty("java.class.path"), MAIN) + arguments
    }

    companion object {
        /** Flags for the system's own processes. */
        val DAEMON_MEMORY = listOf("-Xmx48m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Flags for stand-ins, which keep what they receive. */
        val STANDIN_MEMORY = listOf("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        private const val MAIN = "tanagerlane.cli.MainKt"
        private const val STOP_SECONDS = 60L
    }
}
