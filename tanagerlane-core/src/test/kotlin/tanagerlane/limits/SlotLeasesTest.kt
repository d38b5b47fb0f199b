package tanagerlane.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.EntrySlot
import tanagerlane.message.Nonce
import tanagerlane.message.SlotHeartbeat
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SlotLeasesTest :
    FunSpec({
        data class Partition(
            val fromStore: Boolean,
            val fromSuccessor: Boolean,
            val heldFor: Int?,
            val takenOverAfter: Int?,
        )

        listOf(
            Partition(fromStore = false, fromSuccessor = false, heldFor = null, takenOverAfter = null),
            Partition(fromStore = true, fromSuccessor = false, heldFor = null, takenOverAfter = null),
            Partition(fromStore = false, fromSuccessor = true, heldFor = null, takenOverAfter = null),
            Partition(fromStore = true, fromSuccessor = true, heldFor = 14, takenOverAfter = 18),
        ).forEach { partition ->
            test("a partitioned holder stops before its successor starts: $partition") {
                val store = FakeStore(slotCount = 1)
                val holder = leases("a", slotCount = 1)
                val successor = leases("b", slotCount = 1)
                var heldFor: Int? = null
                var takenOverAfter: Int? = null
                for (second in 0..60) {
                    val isPartitioned = second > 10
                    step(holder, store.takeUnless { isPartitioned && partition.fromStore }, listOf("b"), second)
                    step(successor, store, listOf("a"), second)
                    if (!isPartitioned || !partition.fromSuccessor) {
                        exchangeHeartbeats(holder, successor, second)
                    }
                    if (second > 0 && holder.held(at(second)).isEmpty()) {
                        heldFor = heldFor ?: (second - 10 - 1)
                    }
                    if (successor.held(at(second)).isNotEmpty()) {
                        takenOverAfter = takenOverAfter ?: (second - 10)
                    }
                }
                Partition(partition.fromStore, partition.fromSuccessor, heldFor, takenOverAfter) shouldBe partition
            }
        }

        listOf(null to 18, "a" to null, "b" to null).forEach { (receiver, takenOverAfter) ->
            test("a slot is taken over only if neither successor receives its heartbeats: receiver $receiver") {
                val record = SlotRecord(0, slot("h", "a", "b"), ObjectVersion(7))
                val successors = listOf("a", "b").associateWith { leases(it, slotCount = 1) }
                val takeovers =
                    (0..40).filter { second ->
                        successors[receiver]?.let { sendHeartbeat(it, "h", second) }
                        successors.values.forEach { it.observe(listOf(record), at(second)) }
                        exchangeConsents(successors, second)
                        successors.values.any { it.writes(emptyList(), at(second)).isNotEmpty() }
                    }
                takeovers.firstOrNull() shouldBe takenOverAfter
            }
        }

        test("a holder that cannot reach the store keeps its slot while one of its two successors answers") {
            val store = FakeStore(slotCount = 1)
            val holder = leases("a", slotCount = 1)
            val successor = leases("b", slotCount = 1)
            val held =
                (1..60).map { second ->
                    step(holder, store.takeIf { second < 10 }, listOf("b", "c"), second)
                    exchangeHeartbeats(holder, successor, second)
                    holder.held(at(second)).isNotEmpty()
                }
            held.all { it } shouldBe true
        }

        test("a claim whose answer was lost takes effect once it is read back, and its term starts when it was sent") {
            val leases = leases("a", slotCount = 1)
            leases.observe(listOf(SlotRecord(0, value = null, version = null)), at(0))
            val write = leases.writes(listOf(peer("b")), at(1)).single()
            leases.writeCompleted(write, Err(StoreFailure.OutcomeUnknown("lost")), at(2))
            leases.held(at(2)) shouldBe emptyList()
            leases.writes(listOf(peer("b")), at(2)) shouldBe emptyList()

            leases.observe(listOf(SlotRecord(0, write.value, ObjectVersion(1))), at(3))

            leases.held(at(12)) shouldBe listOf(HeldSlot(0, countedFrom = at(3), validUntil = at(16)))
        }

        test("a write whose answer was lost is retried even if no change is observed") {
            val leases = leases("a", slotCount = 1)
            leases.observe(listOf(SlotRecord(0, value = null, version = null)), at(0))
            val write = leases.writes(listOf(peer("b")), at(1)).single()
            leases.writeCompleted(write, Err(StoreFailure.OutcomeUnknown("lost")), at(2))
            leases.writes(listOf(peer("b")), at(3)) shouldBe listOf(write.copy(startedAt = at(3)))
        }

        test("slots are released after their last use when the entry stops, and can be claimed then") {
            val store = FakeStore(slotCount = 2)
            val leases = leases("a", slotCount = 2)
            (0..2).forEach { step(leases, store, emptyList(), it) }
            leases.held(at(2)).map { it.number } shouldBe listOf(0, 1)

            leases.stop(at(3))

            leases.held(at(3)) shouldBe emptyList()
            val released =
                (3..12).associateWith { second ->
                    step(leases, store, emptyList(), second)
                    leases.isReleased()
                }
            released.filterValues { it }.keys.first() shouldBe 10
            store.list()?.map { it.value?.holder } shouldBe listOf(null, null)
        }

        data class Claim(
            val name: String,
            val found: EntrySlot?,
            val claimedAfter: Int?,
            val countedAfter: Int?,
        )

        listOf(
            Claim("no object", found = null, claimedAfter = 0, countedAfter = 0),
            Claim("free", slot(holder = null), claimedAfter = 0, countedAfter = 0),
            Claim("held by an earlier incarnation", slot(holder = "a"), claimedAfter = 0, countedAfter = 7),
            Claim(
                "held, this entry is the successor",
                slot("b", "a"),
                claimedAfter = 18,
                countedAfter = 18,
            ),
            Claim("held, another entry is the successor", slot("b", "c"), claimedAfter = null, countedAfter = null),
            Claim("divided into another number of slots", slot("b", "a", slotCount = 9), null, null),
        ).forEach { case ->
            test("a slot is claimed only if no other entry may use it: ${case.name}") {
                val leases = leases("a", slotCount = 1)
                val record = SlotRecord(0, case.found, case.found?.let { ObjectVersion(7) })
                var claimedAfter: Int? = null
                var countedAfter: Int? = null
                for (second in 0..40) {
                    leases.observe(listOf(record), at(second))
                    leases.writes(listOf(peer("b")), at(second)).forEach {
                        if (claimedAfter == null) it.expected shouldBe record.version
                        claimedAfter = claimedAfter ?: second
                        leases.writeCompleted(it, Ok(ObjectVersion(8L + second)), at(second))
                    }
                    countedAfter = countedAfter ?: second.takeIf { leases.held(at(second)).isNotEmpty() }
                    if (countedAfter != null) break
                }
                case.copy(claimedAfter = claimedAfter, countedAfter = countedAfter) shouldBe case
            }
        }
    })

private fun at(second: Int): Instant = Instant.fromEpochSeconds(1_000) + second.seconds

private fun peer(name: String): EntryPeer = EntryPeer(HostName(name), FailureDomain(name))

private fun leases(
    name: String,
    slotCount: Int,
): SlotLeases = SlotLeases(SlotSettings(HostName(name), Incarnation(5), "127.0.0.1", 1, slotCount), FailureDomain(name))

private fun slot(
    holder: String?,
    vararg successors: String,
    slotCount: Int = 1,
): EntrySlot =
    EntrySlot(
        slotCount = slotCount,
        holder = holder?.let { HostName(it) },
        incarnation = Incarnation(4),
        address = "127.0.0.1",
        wirePort = 1,
        term = 18.seconds,
        successors = successors.map { HostName(it) },
    )

/** Reads and writes the slots as an entry does each second; [store] is null while it is unreachable. */
private fun step(
    leases: SlotLeases,
    store: FakeStore?,
    peers: List<String>,
    second: Int,
) {
    store?.list()?.let { leases.observe(it, at(second)) }
    leases.writes(peers.map(::peer), at(second)).forEach { write ->
        leases.writeCompleted(write, store?.put(write) ?: Err(StoreFailure.Unavailable("cut")), at(second))
    }
}

private fun exchangeHeartbeats(
    holder: SlotLeases,
    successor: SlotLeases,
    second: Int,
) {
    for (heartbeat in holder.tick(at(second))) {
        successor.receive(HostName("a"), heartbeat.message, at(second)).forEach {
            holder.receive(HostName("b"), it.message, at(second))
        }
    }
}

private fun sendHeartbeat(
    successor: SlotLeases,
    holder: String,
    second: Int,
) {
    val heartbeat = SlotHeartbeat(Nonce(Incarnation(1), at(second)), listOf(0))
    successor.receive(HostName(holder), heartbeat, at(second))
}

private fun exchangeConsents(
    successors: Map<String, SlotLeases>,
    second: Int,
) {
    for ((name, leases) in successors) {
        for (request in leases.tick(at(second))) {
            val other = successors.getValue(request.to.text)
            other.receive(HostName(name), request.message, at(second)).forEach {
                leases.receive(request.to, it.message, at(second))
            }
        }
    }
}
