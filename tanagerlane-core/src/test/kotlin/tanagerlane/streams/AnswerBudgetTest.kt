package tanagerlane.streams

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against answers that are bounded each, but not in total. */
class AnswerBudgetTest :
    FunSpec({
        data class ExcessCase(
            val name: String,
            val additions: List<Pair<String, Long>>,
            val ended: List<Pair<String, Long>>,
            val held: Long,
        )
        listOf(
            ExcessCase("none within the budget", listOf("a" to 60L, "b" to 40L), emptyList(), 100),
            ExcessCase("the largest, not the newest", listOf("a" to 60L, "b" to 41L), listOf("a" to 60L), 41),
            ExcessCase("the one that grows", listOf("a" to 40L, "b" to 40L, "b" to 40L), listOf("b" to 80L), 40),
            ExcessCase("one that is too large alone", listOf("a" to 101L), listOf("a" to 101L), 0),
            ExcessCase(
                "as many as needed",
                listOf("a" to 30L, "b" to 40L, "c" to 111L, "b" to 31L),
                listOf("c" to 111L, "b" to 71L),
                30,
            ),
            ExcessCase(
                "none once the bytes are let go of",
                listOf("a" to 90L, "a" to -80L, "b" to 90L),
                emptyList(),
                100,
            ),
        ).forEach { case ->
            test("answers are ended: ${case.name}") {
                val budget = AnswerBudget(100)
                val ended = ArrayList<Pair<String, Long>>()
                val shares = HashMap<String, AnswerBudget.Share>()
                for ((name, bytes) in case.additions) {
                    shares.getOrPut(name) { budget.open { ended += name to it } }.add(bytes)
                }
                ended shouldBe case.ended
                budget.endedAnswers shouldBe case.ended.size
                budget.heldBytes shouldBe case.held
            }
        }

        test("a share that is closed or ended holds nothing and is not ended again") {
            val budget = AnswerBudget(100)
            val ended = ArrayList<Long>()
            val share = budget.open { ended += it }
            share.add(50)
            share.close()
            share.add(200)
            share.close()
            ended.shouldBeEmpty()
            budget.heldBytes shouldBe 0
        }

        test("small answers are never ended on account of endless ones, and the budget always holds") {
            val random = Random(7)
            val budget = AnswerBudget(10_000)
            val endedSmall = ArrayList<Long>()
            val small = List(20) { budget.open { endedSmall += it } }.onEach { it.add(100) }
            repeat(200) {
                var isEnded = false
                val endless = budget.open { isEnded = true }
                while (!isEnded) {
                    endless.add(random.nextLong(1, 500))
                    budget.heldBytes shouldBeLessThanOrEqual 10_000
                }
            }
            endedSmall.shouldBeEmpty()
            small.forEach { it.close() }
            budget.heldBytes shouldBe 0
        }
    })
