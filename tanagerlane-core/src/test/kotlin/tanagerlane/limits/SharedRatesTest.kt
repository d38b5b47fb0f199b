package tanagerlane.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import tanagerlane.message.WorkspaceAdmissions
import tanagerlane.model.HostName
import tanagerlane.model.WorkspaceName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SharedRatesTest :
    FunSpec({
        val start = START
        val workspace = WorkspaceName("crews")
        val alone = EntryFleet(known = 1, reachable = 1)

        fun rates(
            perSecond: Double,
            burst: Int,
        ) = SharedRates().apply { configure(mapOf(workspace to Rate(perSecond, burst)), START) }

        test("a workspace without a rate is not limited") {
            val rates = rates(1.0, 1)
            List(100) { rates.admit(WorkspaceName("others"), alone, start) } shouldBe List(100) { null }
        }

        test("a burst is admitted at once, and the next request must wait for one token") {
            val rates = rates(10.0, 3)
            List(4) { rates.admit(workspace, alone, start) } shouldBe listOf(null, null, null, 100.milliseconds)
            rates.admit(workspace, alone, start + 100.milliseconds) shouldBe null
        }

        test("requests that another entry admitted are charged once, however often they are reported") {
            val rates = rates(10.0, 10)
            rates.admit(workspace, alone, start) shouldBe null
            repeat(3) {
                rates.received(
                    HostName("entry-2"),
                    listOf(WorkspaceAdmissions(workspace, 9)),
                    isNew = it == 0,
                    alone,
                    start,
                )
            }
            rates.admit(workspace, alone, start) shouldBe 100.milliseconds
        }

        test("admissions are reported while they are recent, and a report without them refunds nothing") {
            val rates = rates(10.0, 10)
            val others = rates(10.0, 10)
            rates.admit(workspace, alone, start) shouldBe null
            rates.report(start + 3.seconds) shouldBe listOf(WorkspaceAdmissions(workspace, 1))
            rates.report(start + 4.seconds) shouldBe emptyList()
            others.admit(workspace, alone, start) shouldBe null
            others.received(HostName("entry-2"), listOf(WorkspaceAdmissions(workspace, 9)), isNew = true, alone, start)
            others.received(HostName("entry-2"), emptyList(), isNew = false, alone, start)
            others.received(HostName("entry-2"), listOf(WorkspaceAdmissions(workspace, 9)), isNew = false, alone, start)
            others.admit(workspace, alone, start) shouldBe 100.milliseconds
        }

        test("a workspace that was idle can use its whole burst at the first entry that it calls") {
            val rates = rates(2.0, 10)
            val many = EntryFleet(known = 18, reachable = 18)
            val later = start + 10.seconds
            List(11) { rates.admit(workspace, many, later) == null } shouldBe List(10) { true } + false
        }

        test("tokens accrued during an idle time do not offset requests that others have just admitted") {
            val rates = rates(10.0, 10)
            val later = start + 100.seconds
            rates.admit(workspace, alone, start) shouldBe null
            rates.received(HostName("entry-2"), listOf(WorkspaceAdmissions(workspace, 10)), isNew = true, alone, later)
            rates.admit(workspace, alone, later) shouldBe 100.milliseconds
        }

        data class StartCase(
            val name: String,
            val previousReport: List<WorkspaceAdmissions>?,
            val isNew: Boolean,
            val admitted: Int,
        )
        listOf(
            StartCase("admitted requests long before this one started", null, isNew = false, admitted = 5),
            StartCase("started after this one", null, isNew = true, admitted = 0),
            StartCase("reported before without this workspace", emptyList(), isNew = false, admitted = 0),
            StartCase("reports again", listOf(WorkspaceAdmissions(workspace, 9_998)), isNew = false, admitted = 3),
        ).forEach { case ->
            test("an entry with half of its burst of 10 left admits ${case.admitted} if another one ${case.name}") {
                val pair = EntryFleet(known = 2, reachable = 2)
                val other = HostName("entry-2")
                val rates = rates(1.0, 10)
                case.previousReport?.let { rates.received(other, it, isNew = false, pair, start) }
                rates.received(other, listOf(WorkspaceAdmissions(workspace, 10_000)), case.isNew, pair, start)
                (1..10).count { rates.admit(workspace, pair, start) == null } shouldBe case.admitted
            }
        }

        test("an entry that can reach no other entry uses its even share") {
            val rates = rates(10.0, 10)
            val fleet = EntryFleet(known = 5, reachable = 1)
            val admitted =
                (0 until 10_000 step 10).count {
                    rates.admit(workspace, fleet, start + it.milliseconds) ==
                        null
                }
            admitted shouldBe 2 + 19
        }

        listOf(false, true).forEach { restarts ->
            val scenario = if (restarts) "restart in turn" else "are partitioned and reconnect"
            test("five entries that $scenario stay within the rate in every window") {
                val maximum =
                    (0 until 40).maxOf { seed ->
                        maximumInWindow(Random(seed), perSecond = 20.0, burst = 20, restarts)
                    }
                maximum shouldBeLessThanOrEqual BOUND
                maximum.toInt() shouldBeGreaterThan 60
            }
        }
    }) {
    private companion object {
        val START = Instant.fromEpochSeconds(1_000_000)

        /** (20 a second x 5 s + burst of 20) x 1.1 + 20, the upper bound that users expect for one window. */
        const val BOUND = (20.0 * 5 + 20) * 1.1 + 20
        const val ENTRIES = 5

        /** Steps between two restarts, or between two changes of which entries are isolated. */
        const val CHANGE_STEPS = 400
        const val STEPS = 4_000
        val STEP = 5.milliseconds
        val REPORT_DELAY = 20.milliseconds

        /** Returns the maximum number of requests that five entries together admitted in any window of 5 s. */
        fun maximumInWindow(
            random: Random,
            perSecond: Double,
            burst: Int,
            restarts: Boolean,
        ): Double {
            val workspace = WorkspaceName("crews")

            fun started(at: Instant) = SharedRates().apply { configure(mapOf(workspace to Rate(perSecond, burst)), at) }
            val entries = MutableList(ENTRIES) { started(START) }
            val startedAt = MutableList(ENTRIES) { START }
            val reports = ArrayDeque<Pair<Instant, () -> Unit>>()
            val reportedStart = HashMap<Pair<Int, Int>, Instant>()
            val admitted = ArrayList<Instant>()
            var now = START
            var isolated = emptySet<Int>()
            repeat(STEPS) { step ->
                now += STEP
                if (step % CHANGE_STEPS == 0) {
                    if (restarts) {
                        val restarted = random.nextInt(ENTRIES)
                        entries[restarted] = started(now)
                        startedAt[restarted] = now
                    } else {
                        isolated = (0 until ENTRIES).filter { random.nextInt(3) == 0 }.toSet()
                    }
                }
                val number = random.nextInt(ENTRIES)
                val reachable = if (number in isolated) 1 else ENTRIES - isolated.size
                val fleet = EntryFleet(ENTRIES, reachable)
                if (entries[number].admit(workspace, fleet, now) == null) {
                    admitted += now
                }
                if (number !in isolated) {
                    val report = entries[number].report(now)
                    val start = startedAt[number]
                    val receivers = (0 until ENTRIES).filter { it != number && it !in isolated }
                    reports.addLast(
                        now + REPORT_DELAY to {
                            receivers.forEach {
                                val isNew = reportedStart[it to number] != start && start > startedAt[it]
                                reportedStart[it to number] = start
                                entries[it].received(HostName("entry-$number"), report, isNew, fleet, now)
                            }
                        },
                    )
                }
                while (reports.isNotEmpty() && reports.first().first <= now) {
                    reports.removeFirst().second()
                }
            }
            return admitted.indices
                .maxOf { first -> admitted.drop(first).takeWhile { it - admitted[first] < 5.seconds }.size }
                .toDouble()
        }
    }
}
