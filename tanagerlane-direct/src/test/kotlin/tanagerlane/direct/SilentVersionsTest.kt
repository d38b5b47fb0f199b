package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.PausingTarget.Piece
import tanagerlane.serving.CallerLimits
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Streams whose target falls silent, beside targets that are full, of another version, or crash. */
class SilentVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        for (situation in situations) {
            for ((besides, disturb) in disturbances) {
                test("a stream at a target that is silent for 1.2 s is whole where ${situation.name}, $besides") {
                    val scene = SilentScene(vertx, situation).also { it.start(this) }
                    launch {
                        eventually(3.seconds) { scene.silent.requests shouldContain "silent" }
                        disturb(scene)
                    }
                    scene.send("silent") shouldBe ReceivedStream(runs = situation.runs)
                }
            }

            test("a stream at a target that is silent for 1.2 s is whole where ${situation.name} and requests wait") {
                val scene = SilentScene(vertx, situation).also { it.start(this, waiting = true) }
                scene.send("silent") shouldBe ReceivedStream(runs = situation.runs)
            }
        }

        for (situation in situations.filter { it.full.isEmpty() }) {
            test("an event that arrives byte for byte is neither cut nor joined where ${situation.name}") {
                val scene = SilentScene(vertx, situation).also { it.start(this) }
                scene.send("dribble") shouldBe ReceivedStream(runs = situation.runs)
            }
        }

        listOf(1 to "is suspected", 2 to "is quarantined").forEach { (comings, state) ->
            test("a request at a silent target is neither cut nor run elsewhere once it $state") {
                val scene = SilentScene(vertx, Situation("there are no others")).also { it.start(this) }
                val crashing = List(5) { FakeTarget(vertx, "b$it", version = "v1").start() }
                crashing.forEach { target ->
                    target.endsEarly = { EarlyEnd() }
                    scene.deployment.register(target.name, target.port, version = target.version)
                }
                val otherEntry = scene.deployment.start("entry-2", "entry", failureDomain = "b")
                // Both entries read the targets and hear each other.
                delay(2.seconds)
                val stream = async { scene.send("slow") }
                eventually(3.seconds) { scene.silent.requests shouldContain "slow" }
                // Each coming crashes two targets, or one once the request is suspected.
                repeat(comings) { scene.call("coming-$it", port = otherEntry.port) }
                stream.await() shouldBe ReceivedStream(runs = listOf("a1"))
                crashing.sumOf { it.runs.size } shouldBe comings + 1
            }
        }

        data class Ending(
            val name: String,
            val silenceMilliseconds: Long,
            val act: suspend (SilentScene) -> Unit,
        )
        val goings =
            listOf(490L, 500L, 510L).map {
                Ending("the silent target goes on after $it ms", it) { scene -> scene.send("short") }
            }
        val leavings =
            listOf(510L, 530L, 550L).map {
                Ending("the callers leave after $it ms", 1200) { scene -> scene.callAndLeave(it) }
            }
        for (ending in goings + leavings) {
            test("all places are free again when ${ending.name}") {
                val scene = SilentScene(vertx, situations.last(), ending.silenceMilliseconds).also { it.start(this) }
                List(3) { async(Dispatchers.IO) { ending.act(scene) } }.awaitAll()
                eventually(5.seconds) {
                    val statuses = List(SilentScene.CAPACITY * 3) { async { scene.call("long")?.status } }.awaitAll()
                    statuses shouldBe List(SilentScene.CAPACITY * 3) { 200 }
                }
            }
        }
    })

private val disturbances: Map<String, suspend (SilentScene) -> Unit> =
    mapOf(
        "undisturbed" to { _ -> },
        "while the entry stops" to { scene -> scene.entry.daemon.drainAndStop() },
        "while other limits come into force" to { scene ->
            scene.deployment.changeLimits(CallerLimits(maximumBodyBytes = 90_000))
        },
    )

/**
 * Targets besides a1, which is silent, by name with their versions.
 *
 * @property runs targets that receive the request
 */
private data class Situation(
    val name: String,
    val full: Map<String, String> = emptyMap(),
    val free: Map<String, String> = emptyMap(),
    val runs: List<String> = listOf("a1"),
)

private val situations =
    listOf(
        Situation("all others are full", full = mapOf("a2" to "v1")),
        Situation("all others have another version", free = mapOf("b1" to "v2")),
        Situation("all others are full or have another version", mapOf("a2" to "v1"), mapOf("b1" to "v2")),
        Situation(
            "another one of its version has a free place",
            free = mapOf("a2" to "v1", "b1" to "v2"),
            runs = listOf("a1", "a2"),
        ),
    )

/** What a caller received, and the targets that its request reached. */
private data class ReceivedStream(
    val body: String = PausingTarget.events("v1").joinToString("") { it.text },
    val isWhole: Boolean = true,
    val runs: List<String>,
)

/** An entry, a target a1 of version v1 that falls silent after some events, and the targets of [situation]. */
private class SilentScene(
    vertx: Vertx,
    private val situation: Situation,
    private val silenceMilliseconds: Long = 1200,
) {
    private val targets =
        (mapOf("a1" to "v1") + situation.full + situation.free).map { (name, version) ->
            PausingTarget(vertx, name, version) { id, event ->
                val silence = listOf(Piece(event.text, silenceMilliseconds))
                when {
                    id == "filler" -> event.text.map { Piece("$it", 20) }

                    id == "long" -> listOf(Piece(event.text, 60))

                    // Others of the same request can crash targets before the silence.
                    id == "slow" && event.number < 6 -> event.text.map { Piece("$it", 18) }

                    id == "slow" && event.number == 6 -> silence

                    name != "a1" || event.number != 4 || id in listOf("probe", "slow") -> listOf(Piece(event.text))

                    id == "dribble" -> event.text.map { Piece("$it", 100) }

                    else -> silence
                }
            }
        }
    val silent = targets.first()

    // The entry prefers a1, which is the only target in its own failure domain.
    val deployment =
        FakeDeployment(vertx, emptyList(), domains = (List(5) { "b$it" } + "a2").associateWith { "b" })
    lateinit var entry: StartedDaemon

    /** Starts the entry, and streams in [scope] that fill the targets that are to be full. */
    suspend fun start(
        scope: CoroutineScope,
        waiting: Boolean = false,
    ) {
        targets.forEach { it.start() }
        deployment.prepare()
        entry = deployment.start("entry-1", "entry", waiting = waiting)
        val (full, others) = targets.partition { it.name in situation.full }
        for (target in full) {
            register(listOf(target))
            repeat(CAPACITY) { scope.launch { call("filler") } }
            eventually(3.seconds) { target.requests.count { it == "filler" } shouldBeGreaterThanOrEqual PLACES }
        }
        register(others.reversed())
    }

    private suspend fun register(registered: List<PausingTarget>) {
        registered.forEach { deployment.register(it.name, it.port, version = it.version) }
        eventually(10.seconds) {
            call("probe", "/calls/probe")
            registered.last().requests shouldContain "probe"
        }
    }

    suspend fun send(id: String): ReceivedStream {
        val answer = call(id)
        val runs = targets.flatMap { target -> target.requests.filter { it == id }.map { target.name } }
        return ReceivedStream(answer?.body.orEmpty(), answer?.isWhole == true, runs)
    }

    suspend fun call(
        id: String,
        path: String = "/streams/1",
        port: Int = entry.port,
    ): RawCaller.ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(port, path, id) }

    /** Sends a request and closes the connection after [milliseconds]. */
    fun callAndLeave(milliseconds: Long): Unit =
        Socket("127.0.0.1", entry.port).use { socket ->
            val head = "POST /streams/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: left\r\nCredential: good-key\r\n"
            socket.getOutputStream().write("${head}Content-Length: 0\r\n\r\n".toByteArray())
            Thread.sleep(milliseconds)
        }

    companion object {
        private const val PLACES = 4

        /** Requests that a target runs and queues. */
        const val CAPACITY = PLACES + 1
    }
}
