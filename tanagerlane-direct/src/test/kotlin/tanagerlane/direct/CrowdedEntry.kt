package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import tanagerlane.model.ServiceName
import tanagerlane.serving.CallerLimits
import tanagerlane.serving.RouteKind
import tanagerlane.serving.WeightedService
import tanagerlane.standin.FreePorts
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.io.path.createTempFile
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.seconds

/** An entry in a process of its own with a small heap and low limits on its callers. */
internal class CrowdedEntry private constructor(
    private val process: Process,
    private val output: File,
    val port: Int,
    val readyPort: Int,
) : AutoCloseable {
    val isAlive: Boolean get() = process.isAlive

    /** Number of descriptors that the process has open. */
    val descriptors: Int get() = File("/proc/${process.pid()}/fd").list()?.size ?: Int.MAX_VALUE

    /** Resident memory in MiB. */
    val residentMebibytes: Int
        get() =
            File("/proc/${process.pid()}/status")
                .readLines()
                .first { it.startsWith("VmRSS:") }
                .filter { it.isDigit() }
                .toInt() / KIBIBYTES_PER_MEBIBYTE

    /** All that the process has written so far. */
    fun output(): String = output.toPath().readText()

    /** Returns the size of the heap and the direct buffers after a collection in MiB, or null if there is no answer. */
    fun memoryAfterCollection(): Int? {
        val before = measurements().size
        process.outputStream.write('\n'.code)
        process.outputStream.flush()
        repeat(MEASUREMENT_CHECKS) {
            measurements().getOrNull(before)?.let { return it }
            Thread.sleep(MEASUREMENT_PAUSE_MILLISECONDS)
        }
        return null
    }

    private fun measurements(): List<Int> =
        output().lines().filter { it.startsWith(MEASUREMENT) }.mapNotNull { it.removePrefix(MEASUREMENT).toIntOrNull() }

    override fun close() {
        process.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS)
        output.delete()
    }

    companion object {
        /** Maximum size of a body in bytes. */
        const val MAXIMUM_BODY_BYTES = 1_000_000

        /** Maximum number of connections of callers. */
        const val MAXIMUM_CONNECTIONS = 128
        private const val HEAP_MEBIBYTES = 64
        private const val BUDGET_BYTES = 8_000_000
        private const val MEASUREMENT = "memory after collection "
        private const val MEASUREMENT_CHECKS = 100
        private const val MEASUREMENT_PAUSE_MILLISECONDS = 50L
        private const val STOP_SECONDS = 5L
        private const val KIBIBYTES_PER_MEBIBYTE = 1024

        /**
         * Starts the process with the flags of the deploy file.
         *
         * @param targetPort port of the target of all routes
         * @param deskPort port of the target of the service `desk`, for requests below `/desk/`
         */
        fun start(
            targetPort: Int,
            deskPort: Int,
        ): CrowdedEntry {
            val output = createTempFile("crowded-entry", ".log").toFile()
            val port = FreePorts.next()
            val readyPort = FreePorts.next()
            val command =
                listOf(
                    "${System.getProperty("java.home")}/bin/java",
                    "-Xmx${HEAP_MEBIBYTES}m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "tanagerlane.direct.CrowdedEntry",
                    "$port",
                    "$readyPort",
                    "$targetPort",
                    "$deskPort",
                )
            val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
            return CrowdedEntry(process, output, port, readyPort)
        }

        /** Arguments: the ports for callers, for readiness checks and of the two targets. */
        @JvmStatic
        fun main(arguments: Array<String>): Unit =
            runBlocking {
                val (port, readyPort, targetPort, deskPort) = arguments.map { it.toInt() }
                val limits =
                    CallerLimits(
                        MAXIMUM_BODY_BYTES,
                        maximumHeaderBytes = 16_384,
                        headerTimeout = 1.seconds,
                        idleTimeout = 3.seconds,
                    )
                val deployment = FakeDeployment(Vertx.vertx(), emptyList(), limits = limits).also { it.prepare() }
                deployment.register("t1", targetPort)
                deployment.register("desk", deskPort, SmallHeapProcess.DESK)
                deployment.changeRoutes { routes ->
                    val services = listOf(WeightedService(ServiceName(SmallHeapProcess.DESK), 1))
                    routes + deployment.route("/${SmallHeapProcess.DESK}/", RouteKind.SAFE).copy(services = services)
                }
                val ports = listOf(port) + deployment.freePorts().drop(1)
                val settings = "callerBudgetBytes = $BUDGET_BYTES\nmaximumConnections = $MAXIMUM_CONNECTIONS"
                deployment.start("entry-1", "entry", ports = ports, readyPort = readyPort, furtherSettings = settings)
                thread(isDaemon = true) { printMeasurements() }
                awaitCancellation()
            }

        /** Prints the memory after a collection for each byte that arrives. */
        private fun printMeasurements() {
            while (System.`in`.read() != -1) {
                System.gc()
                val runtime = Runtime.getRuntime()
                val heap = runtime.totalMemory() - runtime.freeMemory()
                val direct =
                    io.netty.util.internal.PlatformDependent
                        .usedDirectMemory()
                println("$MEASUREMENT${(heap + direct.coerceAtLeast(0)) shr 20}")
            }
        }
    }
}
