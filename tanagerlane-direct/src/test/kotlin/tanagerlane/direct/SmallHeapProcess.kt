package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import tanagerlane.model.ServiceName
import tanagerlane.serving.RouteKind
import tanagerlane.serving.WeightedService
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.readText

/**
 * An entry and a batch runner in a process of their own with a small heap.
 *
 * Requests below `/desk/` go to the service `desk`, all others to the service of all routes.
 */
internal class SmallHeapProcess private constructor(
    private val process: Process,
    private val output: File,
    val port: Int,
) : AutoCloseable {
    val isAlive: Boolean get() = process.isAlive

    /** All that the process has written so far. */
    fun output(): String = output.toPath().readText()

    override fun close() {
        process.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS)
        output.delete()
    }

    companion object {
        const val DESK = "desk"
        private const val STOP_SECONDS = 5L

        /** Heap in MiB, a half of that of the deploy file. */
        private const val HEAP_MEBIBYTES = 64

        /** Starts the process for [targets], each with its service; the first service is that of all routes. */
        fun start(targets: List<Pair<FakeTarget, String>>): SmallHeapProcess {
            val output = createTempFile("small-heap", ".log").toFile()
            val port = tanagerlane.standin.FreePorts.next()
            val command =
                listOf(
                    "${System.getProperty("java.home")}/bin/java",
                    "-Xmx${HEAP_MEBIBYTES}m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "tanagerlane.direct.SmallHeapProcess",
                    "$port",
                ) + targets.map { (target, service) -> "${target.name}:${target.port}:$service" }
            val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
            return SmallHeapProcess(process, output, port)
        }

        /** Arguments: the port for callers, then name, port and service of each target. */
        @JvmStatic
        fun main(arguments: Array<String>): Unit =
            runBlocking {
                val vertx = Vertx.vertx()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                for (argument in arguments.drop(1)) {
                    val (name, port, service) = argument.split(':')
                    deployment.register(name, port.toInt(), service)
                }
                deployment.changeRoutes { routes ->
                    val services = listOf(WeightedService(ServiceName(DESK), 1))
                    routes + deployment.route("/$DESK/", RouteKind.SAFE).copy(services = services)
                }
                deployment.start("batch-1", "batch")
                val ports = deployment.freePorts()
                deployment.start("entry-1", "entry", ports = listOf(arguments.first().toInt()) + ports.drop(1))
                awaitCancellation()
            }
    }
}
