package tanagerlane.scenario

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.time.Duration.Companion.seconds

/** Guards against commands in README and OPERATIONS that do not start, such as flags that the JDK refuses. */
class DocumentedCommandsTest :
    FunSpec({
        val commands = commandsOf("README.md") + commandsOf("docs/OPERATIONS.md")

        test("the pages name a command for each daemon") {
            commands.map(::withoutComment) shouldContainAll DAEMONS.keys + APPLY + DEMO
        }

        test("each documented daemon starts and answers") {
            withFixedPorts {
                val started = ArrayList<CommandLine>()
                try {
                    for ((command, url) in DAEMONS) {
                        val daemon = CommandLine(command).also { started += it }
                        eventually(START_BOUND) { withClue(daemon.log) { statusOf(url) shouldBe 200 } }
                        if (command.startsWith("bin/tanagerlane standin engine")) {
                            val apply = CommandLine(APPLY).also { started += it }
                            withClue({ apply.log }) { apply.exitStatus() shouldBe 0 }
                        }
                    }
                } finally {
                    started.asReversed().forEach { it.end() }
                }
            }
        }

        test("the documented demo runs to its end") {
            val demo = CommandLine(DEMO)
            try {
                withClue({ demo.log }) { demo.exitStatus() shouldBe 0 }
            } finally {
                demo.end()
            }
        }
    })

private const val DEMO = "bin/tanagerlane demo"
private const val APPLY =
    "TANAGERLANE_OBJECT_API=http://127.0.0.1:7000 bin/tanagerlane inventory apply examples/sporskifte/inventory.toml"

/** The commands that start a process, in the order of their start, and the address of one of its answers. */
private val DAEMONS =
    mapOf(
        "bin/tanagerlane standin store --port 7000" to "http://127.0.0.1:7000/list?prefix=configuration",
        "bin/tanagerlane standin engine --port 9001 --model finding-models" to "http://127.0.0.1:9001/v1/models",
        "bin/tanagerlane sidecar --settings examples/sporskifte/sidecar.toml" to "http://127.0.0.1:7202/health",
        "bin/tanagerlane entry --settings examples/sporskifte/entry.toml" to "http://127.0.0.1:7102/health",
    )
private val START_BOUND = 60.seconds
private val ROOT: Path =
    generateSequence(Path.of("").toAbsolutePath()) { it.parent }.first { Files.exists(it.resolve("bin/tanagerlane")) }

/** Returns the lines of the blocks of shell commands on a page. */
private fun commandsOf(page: String): List<String> {
    var isShell = false
    return ROOT.resolve(page).readLines().filter { line ->
        if (line.startsWith("```")) isShell = line == "```sh"
        isShell && "bin/tanagerlane" in line
    }
}

private fun withoutComment(command: String): String = command.substringBefore('#').trim()

/** Runs [block] while no other test run on this machine uses the ports that the pages name. */
private suspend fun withFixedPorts(block: suspend () -> Unit) {
    val file = Path.of(System.getProperty("java.io.tmpdir"), "tanagerlane-documented-ports.lock")
    FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE).use { channel ->
        channel.lock().use { block() }
    }
}

private fun statusOf(url: String): Int {
    val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(5)).build()
    return HttpClient.newHttpClient().send(request, BodyHandlers.discarding()).statusCode()
}

/** A line of a page that a shell runs in the root of the repository, with the classes of this build. */
private class CommandLine(
    line: String,
) {
    private val output: File = Files.createTempFile("documented", ".log").toFile()
    private val process: Process =
        ProcessBuilder("bash", "-c", line)
            .directory(ROOT.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output)
            .apply { environment()["TANAGERLANE_CLASSPATH"] = System.getProperty("java.class.path") }
            .start()

    val log: String get() = output.readText()

    fun exitStatus(): Int {
        process.waitFor(START_BOUND.inWholeSeconds, TimeUnit.SECONDS)
        return process.exitValue()
    }

    fun end() {
        (process.descendants().toList() + process.toHandle()).forEach { it.destroyForcibly() }
        process.waitFor()
        output.delete()
    }
}
