package tanagerlane.scenario

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import tanagerlane.standin.FreePorts
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds

class TakenPortScenarioTest :
    FunSpec({
        for ((role, head) in listOf("entry" to "callerPort = ${FreePorts.next()}", "sidecar" to SIDECAR_HEAD)) {
            for (taken in listOf("wirePort", "operatorPort")) {
                test("a process with the role $role whose $taken is taken ends") {
                    val folder = Files.createTempDirectory("taken-port")
                    ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { socket ->
                        val free = listOf("wirePort", "operatorPort").associateWith { FreePorts.next() }
                        val ports = free + (taken to socket.localPort)
                        val settings = folder.resolve("$role.toml").also { it.writeText(settingsOf(head, ports)) }
                        val arguments = listOf(role, "--settings", "$settings")
                        val process = DaemonProcess(role, folder, arguments, DaemonProcess.DAEMON_MEMORY)
                        try {
                            eventually(END_BOUND) { withClue(process.log) { process.isAlive shouldBe false } }
                            process.log shouldContain "could not start"
                        } finally {
                            process.kill()
                            folder.toFile().deleteRecursively()
                        }
                    }
                }
            }
        }
    }) {
    private companion object {
        const val SIDECAR_HEAD = "target = \"log-store-1\"\ntargetUrl = \"http://127.0.0.1:1\""
        val END_BOUND = 30.seconds

        fun settingsOf(
            head: String,
            ports: Map<String, Int>,
        ): String =
            """
            |$head
            |[host]
            |name = "host-1"
            |failureDomain = "dk-east-1"
            |address = "127.0.0.1"
            |wirePort = ${ports.getValue("wirePort")}
            |operatorPort = ${ports.getValue("operatorPort")}
            |objectApi = "http://127.0.0.1:1"
            """.trimMargin()
    }
}
