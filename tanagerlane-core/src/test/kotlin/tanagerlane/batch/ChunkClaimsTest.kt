package tanagerlane.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.job.ChunkItem
import tanagerlane.job.ChunkState
import tanagerlane.job.ItemFailure
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.store.ObjectVersion

class ChunkClaimsTest :
    FunSpec({
        for (case in claimCases) {
            test("a chunk is claimable: ${case.claimable}, when ${case.name}") {
                case.state.isClaimable(CLAIMANT, case.leaseExpired) shouldBe case.claimable
            }
        }

        test("the window of a first claim is the whole chunk") {
            FREE.claimedBy(CLAIMANT, RULES) shouldBe
                FREE.copy(
                    owner = CLAIMANT.owner,
                    incarnation = CLAIMANT.incarnation,
                    epoch = 1,
                    window = listOf(0, 1, 2, 3),
                )
        }

        test("a takeover counts a loss for unfinished items of the window and keeps the next window small") {
            val lost = HELD.copy(done = bits(0), window = listOf(0, 1, 2))
            lost.claimedBy(CLAIMANT, RULES) shouldBe
                lost.copy(
                    owner = CLAIMANT.owner,
                    incarnation = CLAIMANT.incarnation,
                    epoch = 8,
                    losses = counts(0, 1, 1, 0),
                    window = listOf(1, 3),
                )
        }

        test("an item on its last attempt after losses has a window of its own, after all others") {
            val state = HELD.copy(owner = null, losses = counts(2, 2, 0, 1), window = emptyList())
            val windows = generateSequence(state.claimedBy(CLAIMANT, RULES)) { it.withWindowFinished() }.take(3)
            windows.map { it.window }.toList() shouldBe listOf(listOf(2, 3), listOf(0), listOf(1))
        }

        test("an item whose holders were lost too often fails without another run") {
            val state = HELD.copy(losses = counts(3, 0, 0, 0), window = listOf(1))
            val held = HeldChunk(state, ObjectVersion(1), ITEMS).withExhaustedItemsFailed(RULES)
            held.results.mapValues { it.value.failure } shouldBe mapOf(0 to ItemFailure.HOLDERS_LOST)
        }

        test("a failed item waits until its failure is stored, and ends after its last attempt") {
            var held = HeldChunk(FREE.claimedBy(CLAIMANT, RULES), ObjectVersion(1), ITEMS.take(1))
            held = held.copy(state = held.state.copy(items = 1, window = listOf(0)))
            val attempts = mutableListOf<Int?>()
            repeat(RULES.itemAttempts) {
                attempts += held.nextItem()
                held = held.started(0).failed(0, RefusalReason.TARGET_FAILED)
                attempts += held.nextItem()
                val draft = held.checkpoint(RULES, release = false)
                held = held.committed(draft, ObjectVersion(it + 2L))
            }
            attempts shouldBe listOf(0, null, 0, null, 0, null)
            held.state.failed shouldBe 1
            held.state.owner shouldBe null
        }

        test("items that end while a checkpoint is being written are left to the next one") {
            val start = HeldChunk(FREE.claimedBy(CLAIMANT, RULES), ObjectVersion(1), ITEMS)
            val running =
                start
                    .started(0)
                    .started(1)
                    .started(2)
                    .answered(0, OK, ANSWER)
            val draft = running.checkpoint(RULES, release = false)
            val after = running.answered(1, OK, ANSWER).failed(2, RefusalReason.TARGET_FAILED)
            val held = after.committed(draft, ObjectVersion(2))
            held.results.keys shouldBe setOf(1)
            held.failed.keys shouldBe setOf(2)
            held.state.doneItems shouldBe 1
        }

        test("no item outside the stored window starts while a checkpoint is being written") {
            val state = HELD.copy(losses = counts(1, 1, 1, 1), window = listOf(0, 1))
            val held = HeldChunk(state, ObjectVersion(1), ITEMS).started(0).answered(0, OK, ANSWER)
            val draft = held.checkpoint(RULES, release = false)
            draft.state.window shouldBe listOf(1, 2)
            held.windowDuringCheckpoint(draft).state.window shouldBe listOf(1)
        }

        test("large results are split into pages, and a result over the size limit fails") {
            val large = Payload.of(ByteArray(HeldChunk.MAXIMUM_RESULT_BYTES))
            val tooLarge = Payload.of(ByteArray(HeldChunk.MAXIMUM_RESULT_BYTES + 1))
            val held = HeldChunk(HELD, ObjectVersion(1), ITEMS).answered(0, OK, large).answered(1, OK, large)
            val draft = held.answered(2, OK, tooLarge).checkpoint(RULES, release = false)
            draft.state.pages.map { it.results } shouldBe listOf(1, 2)
            draft.pages.flatMap { it.results }.map { it.failure } shouldBe
                listOf(null, null, ItemFailure.ANSWER_TOO_LARGE)
        }
    })

private const val OK = 200
private val ANSWER = Payload.of("answer")
private val RULES = BatchRules(itemAttempts = 3, maximumWindowItems = 2)
private val CLAIMANT = Claimant(HostName("b"), Incarnation(5))
private val FREE = ChunkState(items = 4)
private val HELD = FREE.copy(owner = HostName("a"), incarnation = Incarnation(3), epoch = 7, window = listOf(0))
private val ITEMS = List(4) { ChunkItem(it, "item-$it", "POST", "/v1/chat/completions", Payload.EMPTY) }

private fun bits(vararg items: Int): Payload = Payload.EMPTY.withItems(items.toList())

private fun counts(vararg counts: Int): Payload = Payload.of(ByteArray(counts.size) { counts[it].toByte() })

/** Returns the state after a checkpoint that finished every item of the window. */
private fun ChunkState.withWindowFinished(): ChunkState {
    val start = HeldChunk(this, ObjectVersion(1), ITEMS)
    val finished = window.fold(start) { held, item -> held.started(item).answered(item, OK, ANSWER) }
    return finished.checkpoint(RULES, release = false).state
}

private data class ClaimCase(
    val name: String,
    val state: ChunkState,
    val leaseExpired: Boolean,
    val claimable: Boolean,
)

private val claimCases =
    listOf(
        ClaimCase("free", FREE, leaseExpired = false, claimable = true),
        ClaimCase("held by another", HELD, leaseExpired = false, claimable = false),
        ClaimCase("held by another, lease expired", HELD, leaseExpired = true, claimable = true),
        ClaimCase("finished", FREE.copy(done = bits(0, 1, 2, 3)), leaseExpired = true, claimable = false),
        ClaimCase(
            "own, earlier incarnation",
            HELD.copy(owner = CLAIMANT.owner),
            leaseExpired = false,
            claimable = true,
        ),
        ClaimCase(
            "own, same incarnation",
            HELD.copy(owner = CLAIMANT.owner, incarnation = CLAIMANT.incarnation),
            leaseExpired = false,
            claimable = false,
        ),
        ClaimCase(
            "own, later incarnation",
            HELD.copy(owner = CLAIMANT.owner, incarnation = Incarnation(6)),
            leaseExpired = false,
            claimable = false,
        ),
    )
