package tanagerlane.places

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import tanagerlane.message.TargetPlaces
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestClass
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadBalancerTest :
    FunSpec({
        fun balancer(
            vararg targets: DirectTarget,
            own: String = "entry-1",
        ) = LoadBalancer(HostName(own), FailureDomain("a")).apply { configure(targets.toList()) }

        data class PlacementCase(
            val name: String,
            val targets: List<DirectTarget>,
            val reported: List<TargetPlaces> = emptyList(),
            val tried: Set<String> = emptySet(),
            val expected: String?,
        )
        listOf(
            PlacementCase(
                "prefers a target with ample free places to a nearly full one",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 7)),
                expected = "y",
            ),
            PlacementCase(
                "prefers the full target with fewer online requests",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 6, batch = 2), at("y", online = 5, batch = 3)),
                expected = "y",
            ),
            PlacementCase(
                "prefers a free place to one that a batch item must give up",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 5), at("y", online = 1, batch = 7)),
                expected = "x",
            ),
            PlacementCase(
                "prefers a place that a batch item must give up to a queue",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 8), at("y", online = 4, batch = 4)),
                expected = "y",
            ),
            PlacementCase(
                "prefers the own failure domain if it has ample free places",
                listOf(target("x", domain = "b"), target("y", domain = "a")),
                listOf(at("y", online = 2)),
                expected = "y",
            ),
            PlacementCase(
                "uses another failure domain if the own one is nearly full",
                listOf(target("x", domain = "b"), target("y", domain = "a")),
                listOf(at("y", online = 7)),
                expected = "x",
            ),
            PlacementCase(
                "avoids a target that is leaving",
                listOf(target("x", leaving = true), target("y")),
                listOf(at("y", 8)),
                expected = "y",
            ),
            PlacementCase(
                "avoids a target that was already tried",
                listOf(target("x"), target("y")),
                tried = setOf("x"),
                expected = "y",
            ),
            PlacementCase(
                "retries the same target if it is the only one",
                listOf(target("x")),
                tried = setOf("x"),
                expected = "x",
            ),
            PlacementCase(
                "may queue at a full target",
                listOf(target("x")),
                listOf(at("x", online = 9)),
                expected = "x",
            ),
            PlacementCase(
                "is sent to a target that claims the largest number of places",
                listOf(target("x").copy(places = Int.MAX_VALUE), target("y")),
                listOf(at("y", online = 8)),
                expected = "x",
            ),
            PlacementCase(
                "is refused if the queue is full",
                listOf(target("x")),
                listOf(at("x", online = 10)),
                expected = null,
            ),
        ).forEach { case ->
            test("an online request ${case.name}") {
                val balancer = balancer(*case.targets.toTypedArray())
                balancer.received(HostName("entry-2"), report("entry-2", *case.reported.toTypedArray()), start)
                val placement = balancer.place(models, case.tried.mapTo(HashSet(), ::TargetName), start)
                (placement as? Placement.At)?.target?.name?.text shouldBe case.expected
            }
        }

        test("targets with ample free places are selected evenly, whichever was less loaded in the last report") {
            val balancer = balancer(target("x"), target("y"), target("z"))
            balancer.received(HostName("entry-2"), report("entry-2", at("x", online = 6), at("y", online = 3)), start)
            val selected = List(300) { (balancer.place(models, emptySet(), start) as Placement.At).target.name.text }
            selected
                .groupingBy { it }
                .eachCount()
                .values
                .min() shouldBeGreaterThan 60
        }

        test("a service without usable targets is reported as such and not as full") {
            val balancer = balancer(target("x", leaving = true))
            balancer.place(models, emptySet(), start) shouldBe Placement.NoTarget
            balancer.place(ServiceName("other"), emptySet(), start) shouldBe Placement.NoTarget
        }

        test("a failed target is avoided for a backoff that doubles with each failure") {
            val balancer = balancer(target("x"), target("y"))
            balancer.received(HostName("entry-2"), report("entry-2", at("y", online = 5)), start)

            fun placed(after: Int) =
                (balancer.place(models, emptySet(), start + after.milliseconds) as Placement.At).target.name.text
            placed(0) shouldBe "x"
            balancer.failed(TargetName("x"), start)
            placed(199) shouldBe "y"
            placed(201) shouldBe "x"
            balancer.failed(TargetName("x"), start + 201.milliseconds)
            placed(600) shouldBe "y"
            placed(602) shouldBe "x"
            balancer.failed(TargetName("x"), start + 602.milliseconds)
            balancer.succeeded(TargetName("x"))
            placed(603) shouldBe "x"
        }

        test("a batch item uses a target in backoff only if all targets are in backoff") {
            val balancer = LoadBalancer(HostName("own"), FailureDomain("a"))
            balancer.configure(listOf(target("x"), target("y", places = 1)))
            balancer.failed(TargetName("x"), start)
            balancer.placeBatch(models, start)?.name shouldBe TargetName("y")
            balancer.started(TargetName("y"), RequestClass.BATCH)
            balancer.placeBatch(models, start) shouldBe null
            balancer.failed(TargetName("y"), start)
            balancer.placeBatch(models, start)?.name shouldBe TargetName("x")
        }

        test("an online request uses a target in backoff if there is no other") {
            val balancer = balancer(target("x"))
            balancer.failed(TargetName("x"), start)
            balancer.place(models, emptySet(), start) shouldBe Placement.At(target("x"))
        }

        test("the last report of a silent process counts until its lifetime ends") {
            val balancer = balancer(target("x"))
            balancer.received(HostName("entry-2"), report("entry-2", at("x", online = 4)), start)
            balancer.load(TargetName("x"), start + 3.seconds) shouldBe TargetLoad(online = 4, batch = 0)
            balancer.load(TargetName("x"), start + 3001.milliseconds) shouldBe TargetLoad(online = 0, batch = 0)
        }

        test("a batch item uses only free places") {
            val balancer = balancer(target("x"), target("y"))
            balancer.received(HostName("entry-2"), report("entry-2", at("x", online = 8), at("y", online = 7)), start)
            balancer.placeBatch(models, start)?.name shouldBe TargetName("y")
            balancer.started(TargetName("y"), RequestClass.BATCH)
            balancer.placeBatch(models, start) shouldBe null
        }

        test("runners together stop exactly as many items as online requests need places") {
            val runners = listOf("batch-1", "batch-2", "batch-3")
            val itemsByRunner = mapOf("batch-1" to 3, "batch-2" to 2, "batch-3" to 1)
            val stopped =
                runners.map { own ->
                    val balancer = balancer(target("x"), own = own)
                    repeat(itemsByRunner.getValue(own)) { balancer.started(TargetName("x"), RequestClass.BATCH) }
                    (runners - own).forEach {
                        balancer.received(HostName(it), report(it, at("x", batch = itemsByRunner.getValue(it))), start)
                    }
                    balancer.received(HostName("entry-1"), report("entry-1", at("x", online = 6)), start)
                    balancer.itemsToPreempt(start)[TargetName("x")] ?: 0
                }
            stopped.sum() shouldBe 4
        }

        test("a peak of online requests gets places that batch items occupied") {
            val targets = (1..8).map { target("t$it") }
            val entry = LoadBalancer(HostName("entry-1"), FailureDomain("a")).apply { configure(targets) }
            val runner = LoadBalancer(HostName("batch-1"), FailureDomain("a")).apply { configure(targets) }
            repeat(64) { runner.placeBatch(models, start)?.let { runner.started(it.name, RequestClass.BATCH) } }
            runner.placeBatch(models, start) shouldBe null
            entry.received(HostName("batch-1"), report("batch-1", *runner.report().toTypedArray()), start)
            repeat(54) {
                val placed = entry.place(models, emptySet(), start) as Placement.At
                entry.started(placed.target.name, RequestClass.ONLINE)
            }
            runner.received(HostName("entry-1"), report("entry-1", *entry.report().toTypedArray()), start)
            runner.itemsToPreempt(start).values.sum() shouldBe 54
            entry.report().maxOf { it.online } shouldBe 7
        }
    })
