package tanagerlane.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContainDuplicates
import io.kotest.matchers.shouldBe
import tanagerlane.job.JobHeader
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class JobOrderTest :
    FunSpec({
        test("jobs are ordered by due time while no workspace is ahead") {
            orderedJobs(JOBS, WorkspaceShares()).map { it.job.text } shouldBe listOf("early", "middle", "late")
        }

        test("jobs of a workspace that is ahead come after the others") {
            val shares = WorkspaceShares().charged(LARGE, items = 600, weight = 1)
            orderedJobs(JOBS, shares).map { it.job.text } shouldBe listOf("late", "early", "middle")
        }

        test("workspaces with a constant backlog are served by weight") {
            val weights = mapOf(LARGE to 3, SMALL to 1)
            val served = HashMap<WorkspaceName, Int>()
            var shares = WorkspaceShares().restrictedTo(weights.keys)
            repeat(400) {
                val next = orderedJobs(JOBS, shares).first().workspace
                served.merge(next, 64, Int::plus)
                shares = shares.charged(next, items = 64, weight = weights.getValue(next))
            }
            served shouldBe mapOf(LARGE to 19_584, SMALL to 6_016)
        }

        test("a new workspace starts with the same share as the others") {
            val shares = WorkspaceShares().charged(LARGE, items = 9_000, weight = 1)
            shares.restrictedTo(setOf(LARGE, SMALL)).servedOf(SMALL) shouldBe 9_000.0
        }

        test("each claimant orders the chunks of a job differently") {
            val orders =
                List(20) { rendezvousOrder(KEYS, 0..<50, Claimant(HostName("host-$it"), Incarnation(1))) }
            orders.map { it.sorted() }.distinct() shouldContainExactly listOf((0..<50).toList())
            orders.map { it.take(3) }.shouldNotContainDuplicates()
        }

        for (case in leaseCases) {
            test("a claim observed unchanged at ${case.observedAt} is expired: ${case.isExpired}") {
                val observations =
                    case.observedAt.fold(LeaseObservations(maximumGap = 15.seconds)) { earlier, at ->
                        earlier.observed(mapOf(KEY to ObjectVersion(4)), START + at)
                    }
                observations.isExpired(KEY, ObjectVersion(4), 60.seconds) shouldBe case.isExpired
                observations.isExpired(KEY, ObjectVersion(5), 60.seconds) shouldBe false
            }
        }

        test("a renewal restarts the lease term") {
            var observations = LeaseObservations(maximumGap = 15.seconds)
            for (step in 0..9) {
                val version = ObjectVersion(if (step < 4) 4 else 5)
                observations = observations.observed(mapOf(KEY to version), START + 15.seconds * step)
                val seconds = if (step < 4) step * 15 else (step - 4) * 15
                observations.isExpired(KEY, version, 60.seconds) shouldBe (seconds >= 60)
            }
        }

        test("names with special characters have distinct keys") {
            val names = listOf("a/b", "a_b", "a.b", "..", ".", "A/B", "a b", "a_2fb", "ä", "a-b")
            val keys = names.flatMap { first -> names.map { JobKeys(WorkspaceName(first), JobId(it)).headerKey.path } }
            keys.shouldNotContainDuplicates()
            KEYS.headerKey.path shouldBe "jobs/headers/large/_2e_2e_2f7_20_c3_a4"
        }
    })

private val START = Instant.fromEpochSeconds(0)
private val LARGE = WorkspaceName("large")
private val SMALL = WorkspaceName("small")
private val KEYS = JobKeys(LARGE, JobId("../7 ä"))
private val KEY: ObjectKey = KEYS.stateKey(0)
private val JOBS =
    listOf(
        header(SMALL, "late", 3.hours),
        header(LARGE, "early", 1.hours),
        header(LARGE, "middle", 2.hours),
    )

private fun header(
    workspace: WorkspaceName,
    job: String,
    due: Duration,
): JobHeader =
    JobHeader(
        workspace = workspace,
        job = JobId(job),
        digest = "",
        upload = "",
        due = START + due,
        submittedAt = START,
        models = emptyList(),
        chunkModels = Payload.EMPTY,
        items = 1,
    )

private data class LeaseCase(
    val observedAt: List<Duration>,
    val isExpired: Boolean,
)

private val leaseCases =
    listOf(
        LeaseCase(listOf(0.seconds), isExpired = false),
        LeaseCase(listOf(0, 15, 30, 45).map { it.seconds }, isExpired = false),
        LeaseCase(listOf(0, 15, 30, 45, 60).map { it.seconds }, isExpired = true),
        LeaseCase(listOf(0, 15, 30, 3_600).map { it.seconds }, isExpired = false),
        LeaseCase(listOf(0, 3_600, 7_200, 10_800, 14_400).map { it.seconds }, isExpired = true),
    )
