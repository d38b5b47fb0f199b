package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import tanagerlane.runtime.HttpObjectStore
import tanagerlane.standin.FreePorts
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readText

/**
 * An entry or a batch runner in a process of its own, which ends with the process that started it.
 *
 * @property name name of the host and of its failure domain
 * @param role role of the host, as in its settings
 * @param storePort loopback port of the object API
 */
internal class EntryProcess(
    val name: String,
    private val role: String,
    private val storePort: Int,
) : AutoCloseable {
    private val ports = List(3) { FreePorts.next() }
    private val output = createTempFile(name, ".log")
    private var process: Process? = null

    /** Port for callers. */
    val port: Int get() = ports.first()

    /** Port for other processes. */
    val wirePort: Int get() = ports[1]

    /** Starts the process, with the same name and ports each time. */
    fun start() {
        check(process?.isAlive != true) { "$name is running" }
        val command =
            listOf(
                "${System.getProperty("java.home")}/bin/java",
                "-Xmx${HEAP_MEBIBYTES}m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                EntryProcess::class.java.name,
                name,
                role,
                "$storePort",
            ) + ports.map { "$it" }
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start()
    }

    /** Ends the process at once, without a chance to say so to anyone. */
    fun kill() {
        process?.destroyForcibly()
    }

    /** Stops the process from running until [thaw]; its sockets still receive. */
    fun freeze(): Unit = signal("STOP")

    /** Lets a process that was frozen go on. */
    fun thaw(): Unit = signal("CONT")

    private fun signal(name: String) {
        val pid = checkNotNull(process) { "${this.name} has not started" }.pid()
        val status = ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
        check(status == 0) { "kill -$name $pid ended with status $status" }
    }

    /** Waits until a process that was killed has ended. */
    fun awaitEnd() {
        val hasEnded = process?.waitFor(STOP_SECONDS, TimeUnit.SECONDS) ?: true
        check(hasEnded) { "$name still runs $STOP_SECONDS s after it was killed" }
    }

    /** All that the process has written so far, over all its starts. */
    fun output(): String = output.readText()

    override fun close() {
        kill()
        awaitEnd()
        output.deleteIfExists()
    }

    companion object {
        private const val STOP_SECONDS = 5L
        private const val HEAP_MEBIBYTES = 64

        /** Arguments: name, role, port of the object API, then the ports for callers, processes and operators. */
        @JvmStatic
        fun main(arguments: Array<String>): Unit =
            runBlocking {
                val (name, role, storePort) = arguments
                val vertx = Vertx.vertx()
                FakeDeployment(vertx, emptyList()).start(
                    name,
                    role,
                    ownStore = HttpObjectStore("http://127.0.0.1:$storePort", vertx),
                    ports = arguments.drop(3).map { it.toInt() },
                    failureDomain = name,
                )
                // The input ends with the process that started this one.
                withContext(Dispatchers.IO) { System.`in`.readAllBytes() }
                Runtime.getRuntime().halt(0)
            }
    }
}
