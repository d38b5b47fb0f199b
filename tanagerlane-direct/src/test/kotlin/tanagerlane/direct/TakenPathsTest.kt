package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.serving.RouteKind
import tanagerlane.standin.FreePorts
import kotlin.time.Duration.Companion.seconds

/** Guards against requests of a service that are answered as calls of the platform, because their paths are the same. */
class TakenPathsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            method: String,
            path: String,
            id: String = "r",
            host: String = "localhost",
            body: String = "",
        ): RawCaller.ReceivedAnswer? =
            withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body, method = method, host = host) }

        suspend fun start(target: FakeTarget): Started {
            val deployment = FakeDeployment(vertx, listOf(target.start())).also { it.prepare() }
            val readyPort = FreePorts.next()
            val port = deployment.start("entry-1", "entry", readyPort = readyPort).port
            eventually(10.seconds) { send(readyPort, "GET", "/ready")?.status shouldBe 200 }
            return Started(deployment, port, readyPort)
        }

        data class PathCase(
            val name: String,
            val host: String,
            val method: String,
            val path: String,
        )
        listOf(
            PathCase("a readiness check", "shop.example", "GET", "/ready"),
            PathCase("a read of results", "shop.example", "GET", "/results/17"),
            PathCase("a read of an item", "shop.example", "GET", "/items/17?id=1"),
            PathCase("the end of a job", "shop.example", "DELETE", "/ends/17"),
            PathCase("a readiness check, at a host with jobs", "localhost", "GET", "/ready"),
            PathCase("a read of results, at a host with jobs", "localhost", "GET", "/results/17"),
        ).forEach { case ->
            test("a request with the path of ${case.name} is forwarded where a route has that path") {
                val target = FakeTarget(vertx, "t1", events = 1)
                val started = start(target)
                started.deployment.changeRoutes { routes ->
                    routes + started.deployment.route("/", RouteKind.SAFE, host = case.host)
                }
                eventually(10.seconds) {
                    send(started.port, case.method, case.path, "a1", case.host) shouldBe
                        RawCaller.ReceivedAnswer(200, "id: 1\ndata: event 1\n\n", isWhole = true)
                }
                target.requests shouldContain "a1 after 0"
                send(started.readyPort, "GET", "/ready", host = case.host) shouldBe
                    RawCaller.ReceivedAnswer(200, "", isWhole = true)
            }
        }

        listOf("removed" to false, "replaced by one of a service" to true).forEach { (change, hasNewRoute) ->
            test("a job stays readable and can be ended when its route is $change") {
                val target = FakeTarget(vertx, "t1", events = 100)
                val started = start(target)
                send(started.port, "POST", "/jobs/x", "night", body = "i1")?.status shouldBe 202
                started.deployment.changeRoutes { routes ->
                    val newRoute = started.deployment.route("/", RouteKind.SAFE).takeIf { hasNewRoute }
                    routes.filter { it.kind != RouteKind.BATCH } + listOfNotNull(newRoute)
                }
                eventually(10.seconds) {
                    send(started.port, "POST", "/jobs/x", "later", body = "i2")?.status shouldBe
                        if (hasNewRoute) 200 else 404
                }
                send(started.port, "GET", "/results/night")?.body.shouldNotBeNull() shouldEndWith "of 1"
                send(started.port, "GET", "/items/night?id=i1")?.body shouldBe "body of i1"
                send(started.port, "DELETE", "/ends/night")?.status shouldBe 200
            }
        }

        test("only readiness checks are answered at their own address") {
            val started = start(FakeTarget(vertx, "t1"))
            send(started.readyPort, "POST", "/calls/1")?.status shouldBe 404
        }
    }) {
    private class Started(
        val deployment: FakeDeployment,
        val port: Int,
        val readyPort: Int,
    )
}
