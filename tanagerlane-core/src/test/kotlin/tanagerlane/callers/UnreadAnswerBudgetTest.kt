package tanagerlane.callers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against answers that are cut although a connection whose request has not run could be ended instead. */
class UnreadAnswerBudgetTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)

        data class Connection(
            val name: String,
            val wait: CallerWait,
            val bytes: Long,
            val stalled: Duration,
        )

        data class ExcessCase(
            val name: String,
            val connections: List<Connection>,
            val kept: String,
        )
        listOf(
            ExcessCase(
                "an answer unread for a second beside a body that arrives in chunks",
                listOf(
                    Connection("unread", CallerWait.READING, 90, 1.seconds),
                    Connection("body", CallerWait.REQUEST, 20, Duration.ZERO),
                ),
                kept = "unread",
            ),
            ExcessCase(
                "an answer that is being read beside one unread for a second",
                listOf(
                    Connection("unread", CallerWait.READING, 30, 1.seconds),
                    Connection("read", CallerWait.READING, 60, Duration.ZERO),
                    Connection("new", CallerWait.REQUEST, 15, Duration.ZERO),
                ),
                kept = "read",
            ),
            ExcessCase(
                "an answer that is being read beside one unread for a second and a new answer",
                listOf(
                    Connection("unread", CallerWait.READING, 30, 1.seconds),
                    Connection("read", CallerWait.READING, 60, 100.milliseconds),
                    Connection("new", CallerWait.READING, 20, Duration.ZERO),
                ),
                kept = "read",
            ),
        ).forEach { case ->
            test("an excess does not end ${case.name}") {
                val budget = CallerBudget(100)
                val ended = HashSet<String>()
                case.connections.forEach { connection ->
                    val share = budget.open(start, { connection.wait }) { ended += connection.name }
                    share.update(0, hasProgressed = true, start - connection.stalled)
                    share.update(connection.bytes, hasProgressed = false, start)
                }
                ended.size shouldBe 1
                (case.kept in ended) shouldBe false
            }
        }
    })
