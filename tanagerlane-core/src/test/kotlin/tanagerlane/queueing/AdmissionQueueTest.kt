package tanagerlane.queueing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass.BATCH
import tanagerlane.model.RequestClass.ONLINE
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionQueueTest :
    FunSpec({
        fun queue(
            window: Int = 2,
            tokenBudget: Int = 1_000,
            batchPrefillTokens: Int = 1_000,
        ) = AdmissionQueue(
            QueueSettings(
                window = window,
                tokenBudget = tokenBudget,
                workspaceEntries = 2,
                batchEntries = 2,
                batchPrefillTokens = batchPrefillTokens,
                firstTokenTarget = 100.milliseconds,
            ),
        )

        test("a burst of online entries preempts batch entries at once, the one that loses the least work first") {
            val queue = queue(window = 3)
            listOf("far", "near", "new").forEach { queue.offer(entry(it, BATCH), START) shouldBe listOf(start(it)) }
            queue.progress(attempt("far"), 7, START)
            queue.progress(attempt("near"), 2, START)
            val decisions = listOf("p", "q", "r").map { queue.offer(entry(it, ONLINE), START) }
            decisions shouldBe
                listOf(
                    listOf(preempt("new"), start("p")),
                    listOf(preempt("near"), start("q")),
                    listOf(preempt("far"), start("r")),
                )
        }

        test("a preempted entry keeps its queue position and its tokens") {
            val queue = queue(window = 1)
            queue.offer(entry("first", BATCH), START) shouldBe listOf(start("first"))
            queue.offer(entry("second", BATCH), START) shouldBe emptyList()
            queue.progress(attempt("first"), 4, START)
            queue.offer(entry("online", ONLINE), START) shouldBe listOf(preempt("first"), start("online"))
            queue.progress(attempt("first"), 5, START) shouldBe emptyList()
            queue.finished(attempt("online"), START) shouldBe listOf(start("first", resumeTokens = 4))
        }

        test("batch entries start in order of their deadline") {
            val queue = queue(window = 1)
            queue.offer(entry("running", BATCH), START)
            queue.offer(entry("late", BATCH, deadline = 90.seconds), START)
            queue.offer(entry("early", BATCH, deadline = 30.seconds), START)
            queue.finished(attempt("running"), START) shouldBe listOf(start("early"))
        }

        test("batch entries are not preempted when that would not make enough room") {
            val queue = queue(window = 2, tokenBudget = 100)
            queue.offer(entry("large", ONLINE, maximumTokens = 60), START) shouldBe listOf(start("large"))
            queue.firstToken(attempt("large"), START) shouldBe emptyList()
            queue.offer(entry("batch", BATCH), START) shouldBe listOf(start("batch"))
            queue.offer(entry("other", ONLINE, maximumTokens = 60), START) shouldBe emptyList()
            queue.finished(attempt("batch"), START)
            queue.offer(entry("second", BATCH), START) shouldBe emptyList()
            queue.finished(attempt("large"), START) shouldBe listOf(start("other"))
            queue.firstToken(attempt("other"), START) shouldBe listOf(start("second"))
        }

        test("batch entries start one at a time while their prompts are prefilled") {
            val queue = queue(window = 3, batchPrefillTokens = 15)
            queue.offer(entry("first", BATCH), START) shouldBe listOf(start("first"))
            queue.offer(entry("second", BATCH), START) shouldBe emptyList()
            queue.progress(attempt("first"), 1, START) shouldBe listOf(start("second"))
        }

        test("an online entry without a first token keeps batch entries from starting, for a bounded time") {
            val queue = queue(window = 3)
            queue.offer(entry("online", ONLINE), START) shouldBe listOf(start("online"))
            queue.offer(entry("held", BATCH), START) shouldBe emptyList()
            queue.firstToken(attempt("online"), START) shouldBe listOf(start("held"))
            queue.offer(entry("silent", ONLINE), START) shouldBe listOf(start("silent"))
            queue.offer(entry("late", BATCH), START) shouldBe emptyList()
            queue.cancel(attempt("held"), START + 99.milliseconds) shouldBe emptyList()
            queue.tick(START + 100.milliseconds) shouldBe listOf(start("late"))
        }

        test("the batch limit shrinks when first tokens are late and recovers when there is no online entry") {
            val queue = queue(window = 8)

            fun batchLimitAfter(
                at: Duration,
                latency: Duration,
            ): Int {
                queue.offer(entry("online", ONLINE), START + at)
                queue.firstToken(attempt("online"), START + at + latency)
                queue.finished(attempt("online"), START + at + latency)
                return queue.load.batchLimit
            }
            batchLimitAfter(0.milliseconds, 200.milliseconds) shouldBe 4
            batchLimitAfter(200.milliseconds, 99.milliseconds) shouldBe 4
            batchLimitAfter(299.milliseconds, 200.milliseconds) shouldBe 2
            batchLimitAfter(499.milliseconds, 200.milliseconds) shouldBe 1
            batchLimitAfter(699.milliseconds, 200.milliseconds) shouldBe 1
            queue.tick(START + 1399.milliseconds)
            queue.load.batchLimit shouldBe 5
            queue.tick(START + 10.seconds)
            queue.load.batchLimit shouldBe 8
        }

        test("an entry that has not started by its deadline is refused as not run") {
            val queue = queue(window = 1)
            queue.offer(entry("running", ONLINE), START)
            queue.offer(entry("waiting", ONLINE, deadline = 1.seconds), START) shouldBe emptyList()
            queue.tick(START + 999.milliseconds) shouldBe emptyList()
            queue.tick(START + 1.seconds) shouldBe
                listOf(QueueDecision.Refuse(attempt("waiting"), RefusalReason.DEADLINE_EXCEEDED))
            queue.load.onlineRunning shouldBe 1
        }

        test("a draining queue refuses new entries and lets started ones finish") {
            val queue = queue(window = 1)
            queue.offer(entry("begun", BATCH), START)
            queue.offer(entry("fresh", BATCH), START)
            queue.offer(entry("online", ONLINE), START)
            queue.offer(entry("waiting", ONLINE), START)
            queue.drain(START) shouldBe listOf(QueueDecision.Refuse(attempt("fresh"), RefusalReason.SHUTTING_DOWN))
            queue.offer(entry("new", ONLINE), START) shouldBe
                listOf(QueueDecision.Refuse(attempt("new"), RefusalReason.SHUTTING_DOWN))
            queue.finished(attempt("online"), START) shouldBe listOf(start("waiting"))
            queue.finished(attempt("waiting"), START) shouldBe listOf(start("begun"))
        }

        data class RefusalCase(
            val offered: QueueEntry,
            val reason: RefusalReason?,
        )
        listOf(
            RefusalCase(entry("over the token budget", ONLINE, maximumTokens = 1_000), RefusalReason.TOO_LARGE),
            RefusalCase(entry("past", ONLINE, "b", deadline = 9.seconds), RefusalReason.DEADLINE_EXCEEDED),
            RefusalCase(
                entry("hopeless", ONLINE, "b", deadline = 14.seconds),
                RefusalReason.OVERLOADED,
            ),
            RefusalCase(entry("in time", ONLINE, "b", deadline = 16.seconds), null),
            RefusalCase(entry("third of its workspace", ONLINE, "a"), RefusalReason.OVERLOADED),
            RefusalCase(entry("first of its workspace", ONLINE, "b"), null),
            RefusalCase(entry("third batch entry", BATCH), RefusalReason.OVERLOADED),
        ).forEach { case ->
            test("refusal reason of the entry \"${case.offered.id.request}\": ${case.reason}") {
                val queue = queue(window = 1)
                listOf("held", "runs", "w1", "w2").forEach {
                    queue.offer(
                        entry(
                            it,
                            ONLINE,
                            if (it ==
                                "held"
                            ) {
                                "b"
                            } else {
                                "a"
                            },
                        ),
                        START,
                    )
                }
                listOf("b1", "b2").forEach { queue.offer(entry(it, BATCH), START) }
                queue.finished(attempt("held"), START + 10.seconds)
                val waiting = queue.load.onlineQueued
                queue.offer(entry("w3", ONLINE), START + 10.seconds)
                queue.offer(case.offered, START + 10.seconds) shouldBe
                    listOfNotNull(case.reason?.let { QueueDecision.Refuse(case.offered.id, it) })
                waiting shouldBe 1
            }
        }
    })
