package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.SavedEvent
import tanagerlane.joblog.SavedProgress
import tanagerlane.model.Incarnation
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against texts of batch items that are joined from targets of two software versions. */
class JoinedItemVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /**
         * The item begins at t1 of v1; then [register] runs, and its target breaks off or its runner is replaced.
         *
         * @property next target that completes the item, from the event at which it broke off or from its beginning
         */
        data class Case(
            val name: String,
            val next: String,
            val isContinued: Boolean,
            val isRunnerReplaced: Boolean = false,
            val register: suspend VersionScene.() -> Unit,
        )
        listOf(
            Case("goes on at its version", "t2", isContinued = true) { register("t2", "s1") },
            Case("goes on at its version as its target leaves", "t2", isContinued = true) {
                register("t2", "s1")
                register("t1", leaving = true)
            },
            Case("starts anew as the only target of its version leaves", "s1", isContinued = false) {
                register("s1")
                register("t1", leaving = true)
            },
            Case("starts anew as the only target of its version is gone", "s1", isContinued = false) {
                register("s1")
                deployment.deregister("t1")
            },
            Case("starts anew at its target of another version", VersionScene.REPLACEMENT, isContinued = false) {
                register(VersionScene.REPLACEMENT)
            },
            Case("starts anew as the only target of its version breaks off at once", "s1", isContinued = false) {
                register("s1")
            },
            Case(
                "starts anew before the only target of its version has used up its attempts",
                "s1",
                isContinued = false,
            ) {
                target("t1").status = 500
                register("s1")
            },
            Case("goes on at its version as its target has another one", "t2", isContinued = true) {
                register("t2", VersionScene.REPLACEMENT)
            },
            Case("goes on at its version at the next runner", "t1", isContinued = true, isRunnerReplaced = true) {
                register("s1")
            },
            Case(
                "starts anew at the next runner as its target leaves",
                "s1",
                isContinued = false,
                isRunnerReplaced = true,
            ) {
                register("s1")
                register("t1", leaving = true)
            },
            Case(
                "starts anew at the next runner as its target is gone",
                "s1",
                isContinued = false,
                isRunnerReplaced = true,
            ) {
                register("s1")
                deployment.deregister("t1")
            },
        ).forEach { case ->
            test("a broken item ${case.name}") {
                val folder = tempdir().toPath()
                val runnerVertx = Vertx.vertx()
                val scene = VersionScene(vertx).start("t1")
                scene.deployment.start("batch-1", "batch", dataFolder = folder, vertx = runnerVertx)
                scene.submit()
                eventually(20.seconds) { VersionScene.savedEvents(folder) shouldBeGreaterThan 5 }
                if (case.isRunnerReplaced) runnerVertx.close().coAwait()
                case.register(scene)
                if (case.isRunnerReplaced) {
                    scene.deployment.start("batch-2", "batch", dataFolder = folder)
                } else {
                    delay(VersionScene.LISTING_TIME)
                    scene.target("t1").breaksAfter = 0
                }
                scene.result() shouldBe VersionScene.completed(scene.target(case.next).version)
                (scene.itemRequests(case.next).last() != "i1 after 0") shouldBe case.isContinued
                runnerVertx.close().coAwait()
            }
        }

        test("a broken item waits while all targets of its version are full") {
            val scene = VersionScene(vertx).start("t2")
            scene.deployment.start("batch-1", "batch")
            delay(VersionScene.DISCOVERY_TIME)
            coroutineScope {
                repeat(PLACES) { async(Dispatchers.IO) { RawCaller.send(scene.port, "/streams/1", "o$it") } }
                eventually(5.seconds) { scene.target("t2").running shouldBe PLACES }
                scene.register("t1")
                delay(VersionScene.LISTING_TIME)
                scene.submit()
                eventually(5.seconds) { scene.target("t1").running shouldBe 1 }
                scene.register("s1")
                scene.register("t1", leaving = true)
                delay(VersionScene.LISTING_TIME)
                scene.target("t1").breaksAfter = 0
                scene.result() shouldBe VersionScene.completed("v1")
                scene.itemRequests("s1") shouldBe emptyList()
            }
        }

        test("an item that starts anew keeps its count of failed attempts") {
            val scene = VersionScene(vertx).start("t1")
            val target = scene.target("t1").apply { status = 500 }
            scene.target("s1").status = 500
            scene.deployment.start("batch-1", "batch")
            scene.submit()
            eventually(20.seconds) { target.requests.size shouldBe 1 }
            target.status = 200
            eventually(20.seconds) { target.running shouldBe 1 }
            scene.register("s1")
            scene.register("t1", leaving = true)
            delay(VersionScene.LISTING_TIME)
            target.breaksAfter = 0
            scene.result() shouldBe ListedResult(VersionScene.ITEM, ItemEnd.ABANDONED, "")
            scene.itemRequests("s1") shouldBe listOf("i1 after 0")
        }

        test("an item starts anew if its progress on the disk names no version") {
            val folder = tempdir().toPath()
            val saved = List(5) { SavedEvent(it + 1L, "event ${it + 1} v0") }
            val scene = VersionScene(vertx).start("t1")
            ProgressFile(folder, Incarnation(1)).apply {
                open(Clock.System.now())
                val keepUntil = Clock.System.now() + 1.minutes
                append(
                    listOf(SavedProgress(VersionScene.JOB, VersionScene.ITEM, keepUntil, before = 0, events = saved)),
                )
            }
            scene.deployment.start("batch-1", "batch", dataFolder = folder)
            scene.submit()
            scene.result() shouldBe VersionScene.completed("v1")
            scene.itemRequests("t1") shouldBe listOf("i1 after 0")
        }
    }) {
    private companion object {
        /** Requests that a target runs concurrently. */
        const val PLACES = 4
    }
}
