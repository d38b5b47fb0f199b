package tanagerlane.attempts

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class AttemptFaultsTest :
    FunSpec({
        test("faults of one message and one host cause no wrong answer, false refusal or second run") {
            val found =
                allFaults().flatMap { faults ->
                    listOf(true, false).flatMap { idempotent -> violations(faults, idempotent) }
                }
            found.groupingBy { it.violation }.eachCount() shouldBe emptyMap()
        }

        test("random combinations of faults cause no wrong answer, false refusal or second run") {
            val found =
                (1..RANDOM_RUNS).flatMap { seed ->
                    violations(randomFaults(Random(seed)), idempotent = seed % 2 == 0)
                }
            found.groupingBy { it.violation }.eachCount() shouldBe emptyMap()
        }

        test("without faults every request is answered after one run") {
            val fleet = FakeFleet(Faults(), idempotent = false).apply { run() }
            fleet.callers.map { it.isAnswered() } shouldBe listOf(true, true)
            fleet.runs.values.toList() shouldBe listOf(1, 1)
        }

        test("every caller is answered when a connection goes silent at any message") {
            val unanswered =
                MESSAGES.filter { type ->
                    val faults = Faults(messages = listOf(FaultyMessage(type, 1, MessageFault.LOST)))
                    val fleet = FakeFleet(faults, idempotent = false).apply { run() }
                    fleet.callers.any { !it.isAnswered() }
                }
            unanswered shouldBe emptyList()
        }
    })

private const val RANDOM_RUNS = 4000
private const val MAXIMUM_FAULTS = 4
private const val MAXIMUM_OCCURRENCE = 4
private val END_TOLERANCE = 50.milliseconds
private val MESSAGES = listOf("Offer", "Accepted", "AnswerHead", "AnswerFragment", "AnswerEnd")
private val ALL_MESSAGES = MESSAGES + listOf("Resolve", "NeverSeen", "NotRun", "AttemptFailed", "Cancel")

/** Times before the offer arrives, while it is queued, while it runs, within the answer and at its end. */
private val FAULT_TIMES = listOf(3, 7, 12, 35, 64).map { it.milliseconds }
private val FAULT_DURATIONS = listOf(300, 1500, 4500).map { it.milliseconds }

private data class FoundViolation(
    val violation: Violation,
    val faults: Faults,
)

private fun violations(
    faults: Faults,
    idempotent: Boolean,
): List<FoundViolation> {
    val fleet = FakeFleet(faults, idempotent).apply { run() }
    val mustEndBy = (fleet.deadline + END_TOLERANCE).takeIf { fleet.isEntryAlive }
    return fleet.callers
        .flatMap { it.violations(fleet.runs[it.request] ?: 0, idempotent, mustEndBy) }
        .map { FoundViolation(it, faults) }
}

private fun allFaults(): List<Faults> =
    messageFaults().flatMap { messages ->
        sidecarFaults().flatMap { sidecars ->
            listOf(null, FAULT_TIMES[2], FAULT_TIMES[3]).map { Faults(messages, sidecars, entryKilledAt = it) } +
                Faults(messages, sidecars, maximumAttempts = 1)
        }
    }

private fun messageFaults(): List<List<FaultyMessage>> {
    val single =
        MESSAGES.flatMap { type -> MessageFault.entries.map { listOf(FaultyMessage(type, 1, it)) } }
    val duringResolve =
        listOf("Resolve", "NeverSeen").flatMap { type ->
            listOf("Offer", "Accepted").flatMap { first ->
                MessageFault.entries.map {
                    listOf(FaultyMessage(first, 1, MessageFault.DELAYED), FaultyMessage(type, 1, it))
                }
            }
        }
    return single + duringResolve + listOf(emptyList())
}

private fun sidecarFaults(): List<List<FaultySidecar>> {
    val table =
        SidecarFault.entries.flatMap { fault ->
            FAULT_TIMES.flatMap { at -> FAULT_DURATIONS.map { listOf(FaultySidecar(fault, at, lasting = it)) } }
        }
    return table + listOf(emptyList())
}

private fun randomFaults(random: Random): Faults =
    Faults(
        messages =
            List(random.nextInt(MAXIMUM_FAULTS + 1)) {
                val occurrence = random.nextInt(1, MAXIMUM_OCCURRENCE + 1)
                FaultyMessage(ALL_MESSAGES.random(random), occurrence, MessageFault.entries.random(random))
            },
        sidecars = List(random.nextInt(MAXIMUM_FAULTS)) { randomSidecarFault(random) },
        entryKilledAt = random.nextInt(2, 3000).milliseconds.takeIf { random.nextInt(5) == 0 },
        maximumAttempts = random.nextInt(1, MAXIMUM_FAULTS),
    )

private fun randomSidecarFault(random: Random) =
    FaultySidecar(
        fault = SidecarFault.entries.random(random),
        at = random.nextInt(2, 3000).milliseconds,
        lasting = random.nextInt(10, 5000).milliseconds,
        target = random.nextInt(2),
    )
