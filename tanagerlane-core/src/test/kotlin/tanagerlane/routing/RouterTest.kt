package tanagerlane.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import tanagerlane.inventory.Target
import tanagerlane.message.LoadReport
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private class ExclusionCase(
    val name: String,
    val change: (SidecarDirectory) -> Unit,
)

class RouterTest :
    FunSpec({
        EXCLUSIONS.forEach { case ->
            test("a target that ${case.name} receives no new requests") {
                val directory = directory(TARGETS)
                case.change(directory)
                selectedTargets(router(directory)) shouldBe setOf(TARGETS[1].name, TARGETS[2].name)
            }
        }

        test("a target is unavailable once its last report has expired") {
            val router = router(directory(TARGETS))
            router.route(query("a"), NOW + 2.seconds)?.incarnation shouldBe Incarnation(1)
            router.route(query("a"), NOW + 2.seconds + 1.milliseconds) shouldBe null
        }

        test("a target that was tried is avoided if there is another") {
            val router = router(directory(TARGETS.take(2)))
            val first = TARGETS[0].name
            val second = TARGETS[1].name
            selectedTargets(router, tried = setOf(first)) shouldBe setOf(second)
            router
                .route(
                    query("a", tried = setOf(first, second)),
                    NOW,
                )?.target
                ?.let { it in setOf(first, second) } shouldBe
                true
        }

        test("prompts with the same prefix go to one target until it exceeds the load bound") {
            val router = router(directory(TARGETS))
            val prompts = List(12) { "x".repeat(256) + it }
            val selected = prompts.map { router.route(query(it), NOW)!!.target }
            selected.take(4).toSet().size shouldBe 1
            selected[4] shouldNotBe selected[3]
            selected.toSet().size shouldBe 3
        }

        test("the less loaded of two targets is selected, and on equal loads the one in the own failure domain") {
            val directory = directory(TARGETS.take(2))
            directory.reported(report(TARGETS[0], running = 4), NOW)
            selectedTargets(router(directory), prefix = false) shouldBe setOf(TARGETS[1].name)
            directory.reported(report(TARGETS[0], running = 0), NOW)
            selectedTargets(router(directory), prefix = false) shouldBe setOf(TARGETS[0].name)
        }

        test("retries are limited to a share of first attempts") {
            val budget = RetryBudget(ratio = 0.2, maximum = 2.0)
            List(3) { budget.tryRetry() } shouldBe listOf(true, true, false)
            repeat(5) { budget.firstAttempt() }
            List(2) { budget.tryRetry() } shouldBe listOf(true, false)
        }

        test("a key keeps its home when another target is removed, and the workspace is part of the key") {
            val names = fleet(targets = 20).map { it.name }
            val homes = (1..1000).associateWith { HomeSidecar.of(WorkspaceName("press"), "key-$it", names) }
            val moved =
                homes.filter { (key, home) ->
                    HomeSidecar.of(
                        WorkspaceName("press"),
                        "key-$key",
                        names - names[3],
                    ) !=
                        home
                }
            moved.values.toSet() shouldBe setOf(names[3])
            val sharedHomes = (1..1000).count { HomeSidecar.of(WorkspaceName("pressk"), "ey-$it", names) == homes[it] }
            (sharedHomes < 100) shouldBe true
        }

        test("subsets cover all failure domains and change only for removed targets") {
            val targets = fleet(targets = 600)
            val entry = HostName("entry-7")
            val subset = SidecarSubset.of(entry, targets, size = 20)
            targets.filter { it.name in subset }.groupingBy { it.failureDomain.text }.eachCount() shouldBe
                mapOf("domain-0" to 5, "domain-1" to 5, "domain-2" to 5, "domain-3" to 5)
            val removed = subset.first()
            val after = SidecarSubset.of(entry, targets.filter { it.name != removed }, size = 20)
            (subset - after) shouldBe setOf(removed)
        }
    })

private val NOW = Instant.fromEpochSeconds(1_000_000)
private val MODEL = ModelName("model")
private val SERVICE = ServiceName("service")
private val CALL = RouteQuery.Call(SERVICE)
private val TARGETS = fleet(targets = 3)
private val EXCLUSIONS =
    listOf(
        ExclusionCase("reports that it is draining") { it.reported(report(TARGETS[0], draining = true), NOW) },
        ExclusionCase("is declared as leaving") {
            it.declare(TARGETS.map { target -> target.copy(leaving = target == TARGETS[0]) })
        },
        ExclusionCase("is leaving according to the host list") { it.listedLeaving(setOf(TARGETS[0].name)) },
        ExclusionCase("is not connected") { it.disconnected(TARGETS[0].name) },
        ExclusionCase("is no longer declared") { it.declare(TARGETS.drop(1)) },
        ExclusionCase("serves other models") {
            it.declare(listOf(TARGETS[0].copy(models = emptyList())) + TARGETS.drop(1))
        },
    )

internal fun fleet(targets: Int): List<Target> =
    List(targets) {
        Target(
            name = TargetName("target-$it"),
            failureDomain = FailureDomain("domain-${it % 4}"),
            models = listOf(MODEL),
            services = listOf(SERVICE),
            window = 8,
        )
    }

internal fun report(
    target: Target,
    running: Int = 0,
    draining: Boolean = false,
) = LoadReport(target.name, onlineQueued = 0, onlineRunning = running, window = 8, draining = draining)

internal fun query(
    prompt: String,
    tried: Set<TargetName> = emptySet(),
) = RouteQuery.Chat(MODEL, Payload.of(prompt), tried)

private fun directory(targets: List<Target>) =
    SidecarDirectory().apply {
        declare(targets)
        targets.forEach {
            connected(it.name, Incarnation(1))
            reported(report(it), NOW)
        }
    }

private fun router(directory: SidecarDirectory) = Router(directory, FailureDomain("domain-0"), Random(1))

/** Returns the targets selected for 200 requests that end at once: chats with a [prefix], or calls of a service. */
private fun selectedTargets(
    router: Router,
    tried: Set<TargetName> = emptySet(),
    prefix: Boolean = true,
): Set<TargetName> =
    (1..200)
        .asSequence()
        .mapNotNull { if (prefix) router.route(query("$it", tried), NOW) else router.route(CALL, NOW) }
        .onEach { router.finished(it.target) }
        .map { it.target }
        .toSet()
