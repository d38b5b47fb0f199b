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
        fun book(
            vararg targets: DirectTarget,
            own: String = "entry-1",
        ) = LoadBalancer(HostName(own), FailureDomain("a")).apply { configure(targets.toList()) }

        data class PlacementCase(
            val name: String,
            val targets: List<DirectTarget>,
            val others: List<TargetPlaces> = emptyList(),
            val tried: Set<String> = emptySet(),
            val expected: String?,
        )
        listOf(
            PlacementCase(
                "a target with ample places before a nearly full one",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 7)),
                expected = "y",
            ),
            PlacementCase(
                "of full targets the one with fewer requests of callers",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 6, batch = 2), at("y", online = 5, batch = 3)),
                expected = "y",
            ),
            PlacementCase(
                "a free place before one that batch has to give up",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 5), at("y", online = 1, batch = 7)),
                expected = "x",
            ),
            PlacementCase(
                "a place that batch has to give up before a wait",
                listOf(target("x"), target("y")),
                listOf(at("x", online = 8), at("y", online = 4, batch = 4)),
                expected = "y",
            ),
            PlacementCase(
                "the own failure domain where there is room",
                listOf(target("x", domain = "b"), target("y", domain = "a")),
                listOf(at("y", online = 2)),
                expected = "y",
            ),
            PlacementCase(
                "another failure domain where the own one is nearly full",
                listOf(target("x", domain = "b"), target("y", domain = "a")),
                listOf(at("y", online = 7)),
                expected = "x",
            ),
            PlacementCase(
                "no target that leaves",
                listOf(target("x", leaving = true), target("y")),
                listOf(at("y", 8)),
                expected = "y",
            ),
            PlacementCase(
                "another target than the one that was tried",
                listOf(target("x"), target("y")),
                tried = setOf("x"),
                expected = "y",
            ),
            PlacementCase(
                "the same target again where it is the only one",
                listOf(target("x")),
                tried = setOf("x"),
                expected = "x",
            ),
            PlacementCase("a short wait", listOf(target("x")), listOf(at("x", online = 9)), expected = "x"),
            PlacementCase("no longer wait", listOf(target("x")), listOf(at("x", online = 10)), expected = null),
        ).forEach { case ->
            test("a request takes ${case.name}") {
                val book = book(*case.targets.toTypedArray())
                book.received(HostName("entry-2"), report("entry-2", *case.others.toTypedArray()), start)
                val placement = book.place(models, case.tried.mapTo(HashSet(), ::TargetName), start)
                (placement as? Placement.At)?.target?.name?.text shouldBe case.expected
            }
        }

        test("targets with ample places are drawn evenly, whichever was emptier at the last report") {
            val book = book(target("x"), target("y"), target("z"))
            book.received(HostName("entry-2"), report("entry-2", at("x", online = 6), at("y", online = 3)), start)
            val drawn = List(300) { (book.place(models, emptySet(), start) as Placement.At).target.name.text }
            drawn
                .groupingBy { it }
                .eachCount()
                .values
                .min() shouldBeGreaterThan 60
        }

        test("a service without targets is told apart from a full one") {
            val book = book(target("x", leaving = true))
            book.place(models, emptySet(), start) shouldBe Placement.NoTarget
            book.place(ServiceName("other"), emptySet(), start) shouldBe Placement.NoTarget
        }

        test("a target that failed is avoided for a time that grows") {
            val book = book(target("x"), target("y"))
            book.received(HostName("entry-2"), report("entry-2", at("y", online = 5)), start)

            fun placed(after: Int) =
                (book.place(models, emptySet(), start + after.milliseconds) as Placement.At).target.name.text
            placed(0) shouldBe "x"
            book.failed(TargetName("x"), start)
            placed(199) shouldBe "y"
            placed(201) shouldBe "x"
            book.failed(TargetName("x"), start + 201.milliseconds)
            placed(600) shouldBe "y"
            placed(602) shouldBe "x"
            book.failed(TargetName("x"), start + 602.milliseconds)
            book.succeeded(TargetName("x"))
            placed(603) shouldBe "x"
        }

        test("a batch item goes to an avoided target only where all are avoided") {
            val book = LoadBalancer(HostName("own"), FailureDomain("a"))
            book.configure(listOf(target("x"), target("y", places = 1)))
            book.failed(TargetName("x"), start)
            book.placeBatch(models, start)?.name shouldBe TargetName("y")
            book.started(TargetName("y"), RequestClass.BATCH)
            book.placeBatch(models, start) shouldBe null
            book.failed(TargetName("y"), start)
            book.placeBatch(models, start)?.name shouldBe TargetName("x")
        }

        test("a request goes to an avoided target where there is no other") {
            val book = book(target("x"))
            book.failed(TargetName("x"), start)
            book.place(models, emptySet(), start) shouldBe Placement.At(target("x"))
        }

        test("what a silent process had counts for a while") {
            val book = book(target("x"))
            book.received(HostName("entry-2"), report("entry-2", at("x", online = 4)), start)
            book.load(TargetName("x"), start + 3.seconds) shouldBe TargetLoad(online = 4, batch = 0)
            book.load(TargetName("x"), start + 3001.milliseconds) shouldBe TargetLoad(online = 0, batch = 0)
        }

        test("a batch item takes free places only") {
            val book = book(target("x"), target("y"))
            book.received(HostName("entry-2"), report("entry-2", at("x", online = 8), at("y", online = 7)), start)
            book.placeBatch(models, start)?.name shouldBe TargetName("y")
            book.started(TargetName("y"), RequestClass.BATCH)
            book.placeBatch(models, start) shouldBe null
        }

        test("runners stop as many items as callers need places, and no more") {
            val runners = listOf("batch-1", "batch-2", "batch-3")
            val held = mapOf("batch-1" to 3, "batch-2" to 2, "batch-3" to 1)
            val stopped =
                runners.map { own ->
                    val book = book(target("x"), own = own)
                    repeat(held.getValue(own)) { book.started(TargetName("x"), RequestClass.BATCH) }
                    (runners - own).forEach {
                        book.received(HostName(it), report(it, at("x", batch = held.getValue(it))), start)
                    }
                    book.received(HostName("entry-1"), report("entry-1", at("x", online = 6)), start)
                    book.itemsToPreempt(start)[TargetName("x")] ?: 0
                }
            stopped.sum() shouldBe 4
        }

        test("a wave of callers at its crest finds places while batch fills the rest") {
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
