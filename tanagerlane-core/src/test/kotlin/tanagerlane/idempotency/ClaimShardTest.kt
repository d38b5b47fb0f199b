package tanagerlane.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

class ClaimShardTest :
    FunSpec({
        test("claims that arrive together are stored in one write, and repeats join the run") {
            val shard = loadedShard()
            List(3) { shard.submit(claim("key-$it", "request-$it")) } shouldBe listOf(null, null, null)
            shard.submit(claim("key-0", "repeat")) shouldBe null
            val write = shard.nextCall(NOW) as ClaimCall.Write
            write.claims.claims.map { it.request.text } shouldBe listOf("request-0", "request-1", "request-2")
            shard.nextCall(NOW) shouldBe null
            shard.onWritten(ObjectVersion(1)).map { it.decision } shouldBe
                List(3) { ClaimDecision.Granted } + ClaimDecision.Joined(RequestId("request-0"))
            shard.submit(claim("key-0", "later")) shouldBe ClaimDecision.Joined(RequestId("request-0"))
            shard.submit(claim("key-0", "other", content = "[]")) shouldBe CONFLICT
        }

        test("a request is not run while the object API is down") {
            val shard = loadedShard()
            shard.submit(claim("key", "request"))
            shard.nextCall(NOW)
            shard.onFailed(StoreFailure.Unavailable("down")) shouldBe
                listOf(DecidedClaim(RequestId("request"), STORE_UNAVAILABLE))
        }

        test("a write with an unknown outcome is settled by reading back") {
            val shard = loadedShard()
            shard.submit(claim("key", "request"))
            val write = shard.nextCall(NOW) as ClaimCall.Write
            shard.onFailed(StoreFailure.OutcomeUnknown("lost")) shouldBe emptyList()
            shard.nextCall(NOW) shouldBe ClaimCall.Read
            shard.onRead(write.claims, ObjectVersion(1)) shouldBe
                listOf(DecidedClaim(RequestId("request"), ClaimDecision.Granted))
        }

        test("the outcome of a claim of a lost home is unknown unless its answer was stored") {
            val answer = StoredAnswer(200, emptyList(), Payload.of("done"))
            val shard = ClaimShard(HOME, Incarnation(2))
            shard.submit(claim("lost", "first", incarnation = 2))
            shard.submit(claim("kept", "second", incarnation = 2))
            shard.nextCall(NOW) shouldBe ClaimCall.Read
            val stored = ClaimSet(listOf(claim("lost", "old"), claim("kept", "older").copy(answer = answer)))
            shard.onRead(stored, ObjectVersion(7)).map { it.decision } shouldBe
                listOf(
                    ClaimDecision.Refused(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN),
                    ClaimDecision.Answered(answer),
                )
        }

        test("claims are dropped after their retention") {
            val shard = loadedShard()
            shard.submit(claim("key", "request"))
            shard.nextCall(NOW)
            shard.onWritten(ObjectVersion(1))
            shard.submit(claim("other", "other"))
            val write = shard.nextCall(NOW + 25.hours) as ClaimCall.Write
            write.claims.claims.map { it.request.text } shouldBe listOf("other")
        }

        test("no key is granted twice and no refused request is granted under random failures of homes and calls") {
            val violations = (1..RANDOM_RUNS).flatMap { seed -> ClaimScenario(Random(seed)).run().map { seed to it } }
            violations shouldBe emptyList()
        }
    })

private const val RANDOM_RUNS = 3000
private val NOW = Instant.fromEpochSeconds(1_000_000)
private val HOME = TargetName("home-0")
private val CONFLICT = ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.CONFLICT)
private val STORE_UNAVAILABLE = ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE)

private fun loadedShard() =
    ClaimShard(HOME, Incarnation(1)).apply {
        submit(claim("first", "first"))
        nextCall(NOW)
        onRead(ClaimSet(emptyList()), null)
        withdraw(RequestId("first"))
    }

private fun claim(
    key: String,
    request: String,
    content: String = "{}",
    owner: TargetName = HOME,
    incarnation: Long = 1,
) = Claim(
    key = ClaimKey(WorkspaceName("press"), IdempotencyKey(key)),
    request = RequestId(request),
    digest = Payload.of(content),
    owner = owner,
    incarnation = Incarnation(incarnation),
    claimedAt = NOW.epochSeconds,
)

/**
 * Two sidecars that both act as the home of a few keys and share one object.
 *
 * Writes of the object may be delayed, and the replies to them may be lost.
 */
private class ClaimScenario(
    private val random: Random,
) {
    private val homes = MutableList(2) { Home(TargetName("home-$it"), incarnation = 1) }
    private val grants = ArrayList<Pair<ClaimKey, RequestId>>()
    private val notRun = HashSet<RequestId>()
    private val lateWrites = ArrayList<ClaimCall.Write>()
    private var stored = ClaimSet(emptyList())
    private var version: ObjectVersion? = null
    private var requests = 0

    fun run(): List<String> {
        repeat(60) { step() }
        val duplicates = grants.groupBy { it.first }.filter { it.value.size > 1 }
        val refused = grants.filter { it.second in notRun }
        return duplicates.map { "granted twice: $it" } + refused.map { "granted though refused: $it" }
    }

    private fun step() {
        val index = random.nextInt(homes.size)
        val home = homes[index]
        when (random.nextInt(8)) {
            0, 1, 2 -> ask(home)
            3, 4, 5 -> call(home)
            6 -> lateWrites.removeFirstOrNull()?.let(::write)
            else -> if (random.nextInt(4) == 0) homes[index] = Home(home.name, home.incarnation + 1)
        }
    }

    private fun ask(home: Home) {
        val claim = claim("key-${random.nextInt(3)}", "request-${requests++}", "{}", home.name, home.incarnation)
        home.asked[claim.request] = claim.key
        home.shard.submit(claim)?.let { decided(home, DecidedClaim(claim.request, it)) }
    }

    private fun call(home: Home) {
        val call = home.shard.nextCall(NOW) ?: return
        val results =
            when (random.nextInt(6)) {
                0 -> home.shard.onFailed(StoreFailure.Unavailable("down"))
                1 -> loseReply(home, call)
                else -> answered(home, call)
            }
        results.forEach { decided(home, it) }
    }

    private fun loseReply(
        home: Home,
        call: ClaimCall,
    ): List<DecidedClaim> {
        if (call !is ClaimCall.Write) {
            return home.shard.onFailed(StoreFailure.Unavailable("down"))
        }
        if (random.nextBoolean()) write(call) else lateWrites += call
        return home.shard.onFailed(StoreFailure.OutcomeUnknown("lost"))
    }

    private fun answered(
        home: Home,
        call: ClaimCall,
    ): List<DecidedClaim> =
        when {
            call !is ClaimCall.Write -> home.shard.onRead(stored, version)
            write(call) -> home.shard.onWritten(checkNotNull(version))
            else -> home.shard.onFailed(StoreFailure.Conflict(ClaimShards.objectOf(claim("k", "r").key), version))
        }

    private fun write(call: ClaimCall.Write): Boolean {
        val matches = call.expected == version
        if (matches) {
            stored = call.claims
            version = ObjectVersion((version?.number ?: 0) + 1)
        }
        return matches
    }

    private fun decided(
        home: Home,
        result: DecidedClaim,
    ) {
        val decision = result.decision
        if (decision is ClaimDecision.Granted) grants += home.asked.getValue(result.request) to result.request
        if (decision is ClaimDecision.Refused && decision.runState == RunState.NOT_RUN) notRun += result.request
    }

    private class Home(
        val name: TargetName,
        val incarnation: Long,
    ) {
        val shard = ClaimShard(name, Incarnation(incarnation))
        val asked = HashMap<RequestId, ClaimKey>()
    }
}
