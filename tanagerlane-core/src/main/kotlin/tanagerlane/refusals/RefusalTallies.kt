package tanagerlane.refusals

import tanagerlane.message.RefusalTally

/**
 * Counts of refusals of one incarnation of a host.
 *
 * Counts only increase, so merging by the greater count is idempotent and counts nothing twice.
 */
internal class RefusalTallies {
    private val counts = HashMap<Refusal, Long>()

    val minutes: Set<Long> get() = counts.keys.map { it.minute }.toSet()

    fun add(refusal: Refusal): RefusalTally = refusal.tally(counts.merge(refusal, 1L, Long::plus) ?: 1L)

    fun merge(tallies: List<RefusalTally>): Unit = tallies.forEach { counts.merge(Refusal.of(it), it.count, ::maxOf) }

    fun of(minute: Long): List<RefusalTally> =
        counts
            .filterKeys { it.minute == minute }
            .map { (refusal, count) -> refusal.tally(count) }
            .sortedBy { it.toString() }

    fun forget(minute: Long) {
        counts.keys.removeIf { it.minute == minute }
    }
}
