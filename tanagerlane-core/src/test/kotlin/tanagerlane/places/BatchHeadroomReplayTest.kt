package tanagerlane.places

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestClass
import tanagerlane.model.TargetName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Guards against batch items that are started into the last free place of a target and stopped again at once. */
class BatchHeadroomReplayTest :
    FunSpec({
        for (seed in 1..3) {
            test("keeping two places free halves the runs that are stopped, and costs little batch work, seed $seed") {
                val filled = HeadroomReplay(Random(seed), keepFree = 0).run()
                val spared = HeadroomReplay(Random(seed), keepFree = 2).run()
                withClue("filled $filled, spared $spared") {
                    spared.stopped.toDouble() shouldBeLessThan filled.stopped / 2.0
                    spared.shareAtFull shouldBeLessThan filled.shareAtFull
                    spared.batchWork shouldBeGreaterThan filled.batchWork * 0.8
                }
            }
        }
    })

/**
 * Counts of a replay.
 *
 * @property stopped runs of batch items that were stopped to free places
 * @property shareAtFull share of online requests whose target had no free place
 * @property batchWork time for which batch items ran, in place-seconds
 */
private data class HeadroomCounts(
    val stopped: Int,
    val shareAtFull: Double,
    val batchWork: Double,
)

/**
 * Replays batch work beside online load in steps: 10 entries in three failure domains send 0.378 of 75 requests a second
 * for 3 s and 1.85 of it for 2.2 s, of 0.75 s each, to 15 targets with 8 places, and three runners have more items of
 * 5 s than there are places. Each process reports its counts every 65 ms.
 */
private class HeadroomReplay(
    private val random: Random,
    private val keepFree: Int,
) {
    private val targets = (1..15).map { target("t$it", domain = "abc"[it % 3].toString()) }
    private val entries = (1..10).map { process("entry-$it", it) }
    private val runners = (1..3).map { process("batch-$it", it) }
    private val items = runners.associateWith { ArrayList<Item>() }
    private val running = HashMap<TargetName, Int>()
    private val endings = ArrayDeque<OnlineEnding>()
    private var now = start
    private var placed = 0
    private var placedAtFull = 0
    private var stopped = 0
    private var batchMilliseconds = 0L

    fun run(): HeadroomCounts {
        repeat(20_800) { step ->
            now += 1.milliseconds
            endRequests()
            (entries + runners).getOrNull(step % 65)?.let(::report)
            if (step % 20 == 0) {
                runners.forEach(::runBatch)
            }
            batchMilliseconds += items.values.sumOf { it.size }
            val load = if (step % 5_200 < 3_000) 0.378 else 1.85
            if (random.nextDouble() < load * 0.075) {
                place(entries[random.nextInt(entries.size)])
            }
        }
        return HeadroomCounts(stopped, placedAtFull.toDouble() / placed, batchMilliseconds / 1000.0)
    }

    private fun process(
        name: String,
        number: Int,
    ): LoadBalancer =
        LoadBalancer(HostName(name), FailureDomain("abc"[number % 3].toString())).apply { configure(targets) }

    private fun place(entry: LoadBalancer) {
        val placement = entry.place(PlacementRequest(models), now)
        placed++
        if (placement !is Placement.At) {
            placedAtFull++
            return
        }
        val target = placement.target
        entry.started(target.name, RequestClass.ONLINE)
        endings.addLast(OnlineEnding(now + 750.milliseconds, entry, target.name))
        if (running.merge(target.name, 1, Int::plus)!! > target.places) placedAtFull++
    }

    private fun runBatch(runner: LoadBalancer) {
        val own = items.getValue(runner)
        own.filter { it.endsAt <= now }.forEach { end(runner, it) }
        for ((target, count) in runner.itemsToPreempt(now)) {
            own.filter { it.target == target }.take(count).forEach {
                end(runner, it)
                stopped++
            }
        }
        while (true) {
            val target = runner.placeBatch(models, now, keepFree = keepFree) ?: return
            own += Item(target.name, now + 5_000.milliseconds)
            runner.started(target.name, RequestClass.BATCH)
            running.merge(target.name, 1, Int::plus)
        }
    }

    private fun end(
        runner: LoadBalancer,
        item: Item,
    ) {
        items.getValue(runner).remove(item)
        runner.ended(item.target, RequestClass.BATCH)
        running.merge(item.target, -1, Int::plus)
    }

    private fun endRequests() {
        while (endings.isNotEmpty() && endings.first().at <= now) {
            val ending = endings.removeFirst()
            ending.entry.ended(ending.target, RequestClass.ONLINE)
            running.merge(ending.target, -1, Int::plus)
        }
    }

    private fun report(sender: LoadBalancer) {
        val all = entries + runners
        val name = "process-${all.indexOf(sender)}"
        val report = report(name, *sender.report().toTypedArray())
        all.filter { it !== sender }.forEach { it.received(HostName(name), report, now) }
    }

    /** Compared by identity, since several items may have the same target and end. */
    private class Item(
        val target: TargetName,
        val endsAt: Instant,
    )

    private class OnlineEnding(
        val at: Instant,
        val entry: LoadBalancer,
        val target: TargetName,
    )
}
