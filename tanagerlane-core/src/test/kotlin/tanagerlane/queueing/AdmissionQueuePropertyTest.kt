package tanagerlane.queueing

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

@OptIn(ExperimentalKotest::class)
class AdmissionQueuePropertyTest :
    FunSpec({
        test("workspaces with a constant backlog are served by weight to within one entry each") {
            checkAll(PropTestConfig(seed = 11), Arb.list(Arb.int(1..40), 2..5)) { costs ->
                val queue = AdmissionQueue(QueueSettings(window = 1, tokenBudget = 1_000))
                val served = DoubleArray(costs.size)
                costs.forEachIndexed { index, cost ->
                    repeat(100) { queue.offer(entryOfCost("$index-$it", index, cost), START) }
                }
                var running = attempt("0-0")
                repeat(100) {
                    val index =
                        running.request.text
                            .substringBefore('-')
                            .toInt()
                    served[index] += costs[index].toDouble() / (index + 1)
                    running =
                        queue
                            .finished(running, START)
                            .filterIsInstance<QueueDecision.Start>()
                            .single()
                            .id
                }
                for (first in costs.indices) {
                    for (second in costs.indices) {
                        val bound = costs[first].toDouble() / (first + 1) + costs[second].toDouble() / (second + 1)
                        abs(served[first] - served[second]) shouldBeLessThanOrEqual bound + ROUNDING
                    }
                }
            }
        }

        test("limits hold, online entries start first, and every entry ends once and keeps its tokens") {
            checkAll(PropTestConfig(seed = 12, iterations = 200), Arb.int()) { seed -> RandomTraffic(seed).run() }
        }
    }) {
    private class RandomTraffic(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val settings = QueueSettings(window = 4, tokenBudget = 200, batchPrefillTokens = 40)
        private val queue = AdmissionQueue(settings)
        private val entries = HashMap<AttemptId, QueueEntry>()
        private val produced = HashMap<AttemptId, Int>()
        private val running = LinkedHashSet<AttemptId>()
        private var ended = 0
        private var now = START

        fun run() {
            repeat(300) { if (random.nextInt(3) == 0) offer(it) else step() }
            while (ended < entries.size) {
                step()
            }
            queue.load.copy(batchLimit = 0) shouldBe QueueLoad(0, 0, 0, 0, 0, settings.window, false)
        }

        private fun offer(number: Int) {
            val requestClass = RequestClass.entries.random(random)
            val tokens = random.nextInt(1, 40)
            val offered =
                entry("e$number", requestClass, "w${random.nextInt(3)}", tokens, tokens, deadline = 1.hours)
            entries[offered.id] = offered
            apply(queue.offer(offered, now))
        }

        private fun step() {
            now += random.nextInt(1, 20).milliseconds
            val id = running.randomOrNull(random) ?: return apply(queue.tick(now))
            val tokens = produced.merge(id, 1, Int::plus)!!
            apply(if (tokens == 1) queue.firstToken(id, now) else queue.progress(id, tokens, now))
            if (id in running && tokens == entries.getValue(id).maximumTokens) {
                running.remove(id)
                ended += 1
                apply(queue.finished(id, now))
            }
        }

        private fun apply(decisions: List<QueueDecision>) {
            decisions.forEach { decision ->
                when (decision) {
                    is QueueDecision.Start -> start(decision)
                    is QueueDecision.Preempt -> running.remove(decision.id) shouldBe true
                    is QueueDecision.Refuse -> error("unexpected refusal: $decision")
                }
            }
            running.size shouldBeLessThanOrEqual settings.window
            running.sumOf { entries.getValue(it).tokens } shouldBeLessThanOrEqual settings.tokenBudget
        }

        private fun start(decision: QueueDecision.Start) {
            running.add(decision.id) shouldBe true
            decision.resumeTokens shouldBe (produced[decision.id] ?: 0)
            if (entries.getValue(decision.id).requestClass == RequestClass.BATCH) {
                queue.load.onlineQueued shouldBe 0
            }
        }
    }

    private companion object {
        const val ROUNDING = 1e-9

        fun entryOfCost(
            name: String,
            index: Int,
            cost: Int,
        ) = entry(name, RequestClass.ONLINE, "w$index", cost, 0, weight = index + 1)
    }
}
