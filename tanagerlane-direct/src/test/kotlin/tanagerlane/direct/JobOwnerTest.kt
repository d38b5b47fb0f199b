package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.serving.RouteKind
import tanagerlane.serving.ServingRoute
import kotlin.time.Duration.Companion.seconds

/** Guards against accepted jobs that nobody can read or end, since submissions and reads disagree about the owner. */
class JobOwnerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        fun withOpenJobs(isOpen: Boolean): (List<ServingRoute>) -> List<ServingRoute> =
            { routes -> routes.map { if (it.kind == RouteKind.BATCH) it.copy(open = isOpen) else it } }

        data class OwnerCase(
            val name: String,
            val isOpen: Boolean,
            val isOpenLater: Boolean = isOpen,
            val key: String? = "good-key",
            val keysLater: Set<String> = setOf("good-key"),
            val statuses: Map<String?, Int>,
            val workspace: String? = "crews",
            val repeat: Int = 202,
        )
        listOf(
            OwnerCase("a closed route", isOpen = false, statuses = mapOf("good-key" to 200, null to 401, "bad" to 401)),
            OwnerCase("an open route", isOpen = true, statuses = mapOf("good-key" to 200, null to 401, "bad" to 401)),
            OwnerCase(
                "an open route, without a key",
                isOpen = true,
                key = null,
                statuses = mapOf(null to 200, "good-key" to 200, "bad" to 200),
                workspace = null,
            ),
            OwnerCase(
                "a closed route that becomes open",
                isOpen = false,
                isOpenLater = true,
                statuses = mapOf("good-key" to 200, null to 401),
            ),
            OwnerCase(
                "an open route that becomes closed",
                isOpen = true,
                isOpenLater = false,
                statuses = mapOf("good-key" to 200, null to 401),
            ),
            OwnerCase(
                "an open route that becomes closed, without a key",
                isOpen = true,
                isOpenLater = false,
                key = null,
                statuses = mapOf("good-key" to 200, null to 200),
                workspace = null,
                repeat = 401,
            ),
            OwnerCase(
                "an open route, with a key that is replaced",
                isOpen = true,
                keysLater = setOf("new-key"),
                statuses = mapOf("new-key" to 200, "good-key" to 401),
            ),
        ).forEach { case ->
            test("a job of ${case.name} is read and ended by its owner") {
                val target = FakeTarget(vertx, "t1").start()
                val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
                val ports = List(2) { deployment.start("entry-$it", "entry").port }
                deployment.start("batch-1", "batch")

                suspend fun send(
                    method: String,
                    path: String,
                    key: String?,
                    port: Int = ports[0],
                    id: String = "night",
                    body: String = "",
                ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, "", body, method, key = key) }

                suspend fun awaitConfiguration(
                    isOpen: Boolean,
                    key: String,
                ) = ports.forEach { port ->
                    eventually(10.seconds) {
                        // Without items the submission is malformed, so it tells only whether its key is accepted.
                        send("POST", "/jobs/x", null, port, "?")?.status shouldBe if (isOpen) 400 else 401
                        send("POST", "/jobs/x", key, port, "?")?.status shouldBe 400
                    }
                }
                deployment.changeRoutes(change = withOpenJobs(case.isOpen))
                awaitConfiguration(case.isOpen, "good-key")
                send("POST", "/jobs/x", case.key, body = "i1")?.status shouldBe 202
                eventually(20.seconds) {
                    send("GET", "/results/night", case.key, ports[1])?.body shouldBe "i1 COMPLETED 10\n1 of 1"
                }
                target.workspaces.toSet() shouldBe setOf(case.workspace)

                deployment.changeRoutes(case.keysLater, withOpenJobs(case.isOpenLater))
                awaitConfiguration(case.isOpenLater, case.keysLater.first())
                send("POST", "/jobs/x", case.key, ports[1], body = "i1")?.status shouldBe case.repeat
                ports.forEach { port ->
                    listOf(
                        "GET" to "/results/night",
                        "GET" to "/items/night?id=i1",
                        "DELETE" to "/ends/night",
                    ).forEach {
                        val statuses =
                            case.statuses.mapValues { (key, _) ->
                                send(it.first, it.second, key, port)?.status
                            }
                        statuses shouldBe case.statuses
                    }
                }
            }
        }
    })
