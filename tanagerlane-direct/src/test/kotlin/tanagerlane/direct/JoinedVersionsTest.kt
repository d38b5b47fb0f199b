package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Streams that hold events from targets of two software versions. */
class JoinedVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Targets a1 and a2 of version v1, of which a1 breaks off after event 3, and b1 and b2 of version v2. */
        suspend fun startTargets() =
            mapOf("a1" to "v1", "a2" to "v1", "b1" to "v2", "b2" to "v2").mapValues { (name, version) ->
                FakeTarget(vertx, name, version = version).start().also { if (name == "a1") it.breaksAfter = 3 }
            }

        data class Scene(
            val deployment: FakeDeployment,
            val targets: Map<String, FakeTarget>,
            val ports: List<Int>,
        ) {
            suspend fun register(name: String) {
                val target = targets.getValue(name)
                deployment.register(name, target.port, version = target.version)
                awaitTargets()
            }

            suspend fun deregister(name: String) {
                deployment.deregister(name)
                awaitTargets()
            }

            /** Waits until all entries have read the latest registrations. */
            suspend fun awaitTargets() = delay(1.5.seconds)

            suspend fun send(
                entry: Int,
                id: String,
                headers: String = "",
            ): ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(ports[entry], "/streams/1", id, headers) }

            /** Sends streams to the first entry until one has begun at v1 and broke off after event 3. */
            suspend fun breakOne(): String {
                // Targets of v2 break off at once, so that the stream ends at this caller whatever the entry does.
                val others = targets.values.filter { it.version == "v2" }.onEach { it.breaksAfter = 0 }
                val id =
                    (1..40).map { "broken-$it" }.first { id ->
                        send(0, id)?.takeIf { !it.isWhole }?.let { versionsIn(it.body) } == List(3) { "v1" }
                    }
                others.forEach { it.breaksAfter = null }
                return id
            }
        }

        suspend fun start(vararg registered: String): Scene {
            val targets = startTargets()
            val deployment = FakeDeployment(vertx, registered.map(targets::getValue)).also { it.prepare() }
            val ports = listOf("entry-1", "entry-2").map { deployment.start(it, "entry").port }
            deployment.start("batch-1", "batch")
            val scene = Scene(deployment, targets, ports)
            ports.indices.forEach { entry ->
                eventually(10.seconds) {
                    withContext(Dispatchers.IO) { RawCaller.send(ports[entry], "/ready", "r") }?.status shouldBe 200
                }
            }
            scene.awaitTargets()
            return scene
        }

        data class ContinuedCase(
            val name: String,
            val registered: List<String>,
            val isWhole: Boolean,
        )
        listOf(
            ContinuedCase("another target of its version", listOf("a1", "a2", "b1", "b2"), isWhole = true),
            ContinuedCase("targets of another version only", listOf("a1", "b1", "b2"), isWhole = false),
        ).forEach { case ->
            test("a stream that its target breaks off is not joined: ${case.name}") {
                val scene = start(*case.registered.toTypedArray())
                val answers = (1..40).map { scene.send(0, "s$it") }
                answers.forEach { versionsIn(it!!.body).toSet().size shouldBe 1 }
                val broken =
                    scene.targets
                        .getValue("a1")
                        .requests
                        .filter { it.endsWith("after 0") }
                broken.size shouldBeGreaterThan 0
                broken.forEach { request ->
                    val answer = answers[request.substringBefore(' ').removePrefix("s").toInt() - 1]!!
                    answer.isWhole shouldBe case.isWhole
                    versionsIn(answer.body).toSet() shouldBe setOf("v1")
                }
            }
        }

        data class ResumedCase(
            val name: String,
            val headers: (attempt: String) -> String = { "Last-Event-Id: 3\r\nResumes: $it\r\n" },
            val prepare: suspend Scene.() -> Unit,
            val isContinued: Boolean,
        )
        val resumedCases =
            listOf(
                ResumedCase("its version is in service", prepare = { register("a2") }, isContinued = true),
                ResumedCase("its version has left", prepare = { deregister("a1") }, isContinued = false),
                ResumedCase(
                    "the attempt is unknown",
                    headers = { "Last-Event-Id: 3\r\nResumes: another\r\n" },
                    prepare = { register("a2") },
                    isContinued = false,
                ),
                ResumedCase(
                    "the attempt is not named",
                    headers = { "Last-Event-Id: 3\r\n" },
                    prepare = { register("a2") },
                    isContinued = false,
                ),
                ResumedCase(
                    "the target that began it has started again with another version",
                    prepare = {
                        deployment.register("a1", targets.getValue("b1").port, version = "v2")
                        register("a2")
                    },
                    isContinued = false,
                ),
            )
        resumedCases.forEach { case ->
            listOf("the same entry" to 0, "another entry" to 1).forEach { (place, entry) ->
                test("a stream that its caller resumes at $place is not joined: ${case.name}") {
                    val scene = start("a1", "b1", "b2")
                    val broken = scene.breakOne()
                    case.prepare(scene)
                    if (case.isContinued) scene.targets.getValue("a1").breaksAfter = null
                    val sentAt = TimeSource.Monotonic.markNow()
                    val answer = scene.send(entry, "again", case.headers(broken))!!
                    if (case.isContinued) {
                        answer.isWhole shouldBe true
                        versionsIn(answer.body) shouldBe List(7) { "v1" }
                    } else {
                        answer.status shouldBe 503
                        (sentAt.elapsedNow() < 1.seconds) shouldBe true
                        scene.targets.values.flatMap { it.requests } shouldNotContain "again after 3"
                    }
                }
            }
        }

        listOf("the same entry" to 0, "another entry" to 1).forEach { (place, entry) ->
            test("a stream is resumed at $place while its service has one version only") {
                val scene = start("a1")
                val broken = scene.breakOne()
                scene.targets.getValue("a1").breaksAfter = null
                val answer = scene.send(entry, "again", "Last-Event-Id: 3\r\nResumes: $broken\r\n")!!
                answer.isWhole shouldBe true
                versionsIn(answer.body) shouldBe List(7) { "v1" }
            }
        }

        listOf("the same entry" to 0, "another entry" to 1).forEach { (place, entry) ->
            test("a stream that began before its service had two versions is not joined at $place") {
                val scene = start("a1")
                val broken = scene.breakOne()
                scene.targets.getValue("a1").breaksAfter = null
                scene.register("b1")
                scene.register("b2")
                val answer = scene.send(entry, "again", "Last-Event-Id: 3\r\nResumes: $broken\r\n")!!
                answer.isWhole shouldBe true
                versionsIn(answer.body) shouldBe List(7) { "v1" }
            }
        }
    })

/** Returns the version that wrote each event of [body], in order. */
private fun versionsIn(body: String): List<String> =
    body.lines().filter { it.startsWith("data:") }.map { it.substringAfterLast(' ') }
