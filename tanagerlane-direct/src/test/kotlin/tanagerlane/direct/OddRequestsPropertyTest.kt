package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against odd heads and framings that leave a request without an answer, end the process, or let a body be taken
 * for a request of its own.
 */
@OptIn(ExperimentalKotest::class)
class OddRequestsPropertyTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        val targets =
            listOf(
                "/calls/1",
                "/calls/%",
                "/calls/%zz?a=%",
                "/calls/\u00e9\u0301",
                "http://localhost/calls/1",
                "*",
                "//",
                "/none",
            )
        val hosts = listOf("Host: localhost", "Host:localhost", "Host: [", "Host: a\r\nHost: b", "X: y", "Host: \u00ff")
        val fields =
            listOf("X: \u0001", "X : y", ": y", "X: a\rY: b", "X: \u00c3\u0028", " folded", "X: ${"y".repeat(3_000)}")
        val smuggled = "POST /calls/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
        val length = smuggled.length
        val hex = length.toString(16)

        /** Framings in which a recipient that accepts them takes [smuggled] for a body. */
        val framings =
            listOf(
                "Content-Length: $length\r\n\r\n$smuggled",
                "Content-Length: $length\r\nContent-Length: $length\r\n\r\n$smuggled",
                "Content-Length: 0\r\nContent-Length: $length\r\n\r\n$smuggled",
                "Content-Length: +$length\r\n\r\n$smuggled",
                "Content-Length: $length, 0\r\n\r\n$smuggled",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: 99999999999999999999\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n$hex;a=b\r\n$smuggled\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n$hex\n$smuggled\n0\n\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n$smuggled\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-1\r\n$smuggled\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n0$hex\r\n$smuggled\r\n0\r\nX: y\r\n\r\n",
            )
        val requests =
            arbitrary { source ->
                val random: Random = source.random
                buildString {
                    append(listOf("POST", "GET", "post", "P\u00d6ST", "").random(random)).append(' ')
                    append(
                        targets.random(random),
                    ).append(listOf(" HTTP/1.1", " HTTP/1.0", " HTTP/9.9", "").random(random))
                    append("\r\n${hosts.random(random)}\r\nAttempt-Id: odd\r\nCredential: good-key\r\n")
                    repeat(random.nextInt(2)) { append(fields.random(random)).append("\r\n") }
                    append(framings.random(random))
                }
            }

        test("odd requests are answered or refused, and their bodies never run as requests") {
            val target = FakeTarget(vertx, "t1", events = 1).start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val port = deployment.start("entry-1", "entry").port
            withContext(Dispatchers.IO) {
                eventually(10.seconds) { RawCaller.send(port, "/calls/1", "first")?.status shouldBe 200 }
                val statuses = HashMap<String, Int>()
                checkAll(PropTestConfig(seed = SEED, iterations = ITERATIONS), requests) { text ->
                    val answer =
                        Socket("127.0.0.1", port).use { socket ->
                            socket.soTimeout = TIMEOUT_MILLISECONDS
                            socket.getOutputStream().write(text.toByteArray(Charsets.UTF_8))
                            runCatching {
                                String(
                                    socket.getInputStream().readNBytes(STATUS_LINE_BYTES),
                                )
                            }.getOrDefault("")
                        }
                    val status = answer.substringAfter(' ')
                    statuses.merge(status, 1, Int::plus)
                    withClue(text) { status shouldBeIn ANSWERS }
                }
                withClue(statuses) { statuses.keys shouldContainAll setOf("200", "400", "404") }
                target.requests.map { it.substringBefore(' ') } shouldNotContain "smuggled"
                RawCaller.send(port, "/calls/1", "last")?.status shouldBe 200
            }
        }
    }) {
    private companion object {
        const val SEED = 20_261_206L
        const val ITERATIONS = 400
        const val TIMEOUT_MILLISECONDS = 500
        const val STATUS_LINE_BYTES = 12

        /** Statuses that an odd request may get; a connection that is closed without an answer is the empty text. */
        val ANSWERS = setOf("", "200", "400", "401", "404", "413", "414", "431", "501", "503", "505")
    }
}
