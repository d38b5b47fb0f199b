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
        test("the job due first comes first while no workspace is ahead") {
            orderedJobs(JOBS, WorkspaceShares()).map { it.job.text } shouldBe listOf("early", "middle", "late")
        }

        test("a workspace that is ahead comes after the others") {
            val shares = WorkspaceShares().charged(LARGE, items = 600, weight = 1)
            orderedJobs(JOBS, shares).map { it.job.text } shouldBe listOf("late", "early", "middle")
        }

        test("workspaces with endless work are served by their weights") {
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

        test("a workspace that comes anew begins level with the others") {
            val shares = WorkspaceShares().charged(LARGE, items = 9_000, weight = 1)
            shares.restrictedTo(setOf(LARGE, SMALL)).servedOf(SMALL) shouldBe 9_000.0
        }

        test("claimants order the chunks of a job in different ways") {
            val orders =
                List(20) { rendezvousOrder(KEYS, 0..<50, Claimant(HostName("host-$it"), Incarnation(1))) }
            orders.map { it.sorted() }.distinct() shouldContainExactly listOf((0..<50).toList())
            orders.map { it.take(3) }.shouldNotContainDuplicates()
        }

        for (case in leases) {
            test("a claim seen unchanged at ${case.sightings} is lapsed: ${case.lapsed}") {
                val observations =
                    case.sightings.fold(LeaseObservations(maximumGap = 15.seconds)) { earlier, at ->
                        earlier.observed(mapOf(KEY to ObjectVersion(4)), START + at)
                    }
                observations.isExpired(KEY, ObjectVersion(4), 60.seconds) shouldBe case.lapsed
                observations.isExpired(KEY, ObjectVersion(5), 60.seconds) shouldBe false
            }
        }

        test("a renewal begins the term anew") {
            var observations = LeaseObservations(maximumGap = 15.seconds)
            for (tick in 0..9) {
                val version = ObjectVersion(if (tick < 4) 4 else 5)
                observations = observations.observed(mapOf(KEY to version), START + 15.seconds * tick)
                val seconds = if (tick < 4) tick * 15 else (tick - 4) * 15
                observations.isExpired(KEY, version, 60.seconds) shouldBe (seconds >= 60)
            }
        }

        test("names with any characters have keys of their own") {
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
    val sightings: List<Duration>,
    val lapsed: Boolean,
)

private val leases =
    listOf(
        LeaseCase(listOf(0.seconds), lapsed = false),
        LeaseCase(listOf(0, 15, 30, 45).map { it.seconds }, lapsed = false),
        LeaseCase(listOf(0, 15, 30, 45, 60).map { it.seconds }, lapsed = true),
        LeaseCase(listOf(0, 15, 30, 3_600).map { it.seconds }, lapsed = false),
        LeaseCase(listOf(0, 3_600, 7_200, 10_800, 14_400).map { it.seconds }, lapsed = true),
    )
