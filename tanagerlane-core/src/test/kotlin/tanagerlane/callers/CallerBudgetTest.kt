package tanagerlane.callers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a budget that ends callers whose requests move on, or small requests before large ones. */
class CallerBudgetTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)

        /** What a connection holds, how many seconds ago it made progress, and whether it is expected to be ended. */
        data class Row(
            val name: String,
            val held: Long,
            val stalled: Int,
            val isEnded: Boolean = false,
        )

        context("connections that are ended when the last one exceeds a budget of 100 bytes") {
            listOf(
                listOf(Row("a", 60, 0), Row("b", 40, 0)),
                listOf(Row("largest moves", 60, 0), Row("stalled", 30, 5, isEnded = true), Row("new", 20, 0)),
                listOf(Row("largest stalled", 50, 2, isEnded = true), Row("longer", 40, 9), Row("new", 20, 0)),
                listOf(Row("largest", 70, 0, isEnded = true), Row("small", 20, 0), Row("new", 30, 0)),
                listOf(Row("a", 50, 5, isEnded = true), Row("b", 40, 5, isEnded = true), Row("new", 95, 0)),
                listOf(Row("small", 10, 5), Row("new", 150, 0, isEnded = true)),
            ).forEach { rows ->
                test(rows.joinToString { "${it.held} bytes ${it.stalled} s ago" }) {
                    val budget = CallerBudget(100)
                    val ended = HashSet<String>()
                    val shares = rows.map { row -> row to budget.open(start) { ended += row.name } }
                    shares.forEach { (row, share) -> share.update(row.held, true, start - row.stalled.seconds) }
                    ended shouldBe rows.filter { it.isEnded }.map { it.name }.toSet()
                    budget.heldBytes shouldBe rows.filter { it.name !in ended }.sumOf { it.held }
                }
            }
        }

        context("room for a body") {
            listOf(
                Triple(20L, true, emptySet<String>()),
                Triple(50L, true, setOf("large")),
                Triple(70L, true, setOf("large", "small")),
                Triple(71L, false, emptySet()),
            ).forEach { (bytes, hasRoom, expected) ->
                test("$bytes bytes: $hasRoom, ends $expected") {
                    val budget = CallerBudget(100)
                    val ended = HashSet<String>()
                    budget.open(start) { ended += "large" }.update(40, hasProgressed = true, start - 2.seconds)
                    budget.open(start) { ended += "small" }.update(10, hasProgressed = true, start - 2.seconds)
                    budget.open(start) { ended += "moving" }.update(20, hasProgressed = true, start)
                    val requester = budget.open(start) { ended += "requester" }
                    requester.update(10, hasProgressed = true, start)
                    budget.makeRoom(bytes, requester, start) shouldBe hasRoom
                    ended shouldBe expected
                }
            }
        }

        context("room for a body beside a connection without progress") {
            data class StalledCase(
                val wait: CallerWait,
                val stalled: Duration,
                val isEnded: Boolean,
            )
            listOf(
                StalledCase(CallerWait.REQUEST, 499.milliseconds, isEnded = false),
                StalledCase(CallerWait.REQUEST, 500.milliseconds, isEnded = true),
                StalledCase(CallerWait.READING, 1200.milliseconds, isEnded = false),
                StalledCase(CallerWait.READING, 1999.milliseconds, isEnded = false),
                StalledCase(CallerWait.READING, 2.seconds, isEnded = true),
                StalledCase(CallerWait.ANSWER, 60.seconds, isEnded = false),
            ).forEach { case ->
                test("$case") {
                    val budget = CallerBudget(100)
                    var isEnded = false
                    val share = budget.open(start, { case.wait }) { isEnded = true }
                    share.update(90, hasProgressed = true, start - case.stalled)
                    budget.makeRoom(20, budget.open(start) {}, start) shouldBe case.isEnded
                    isEnded shouldBe case.isEnded
                }
            }
        }

        test("a closed share gives its bytes back and takes no more") {
            val budget = CallerBudget(100)
            val share = budget.open(start) {}
            share.update(50, hasProgressed = true, start)
            share.close()
            share.update(70, hasProgressed = true, start)
            budget.heldBytes shouldBe 0
        }
    })
