package tanagerlane.refusals

import tanagerlane.message.RefusalMinute
import tanagerlane.model.WorkspaceName

/** Evaluates stored refusals and compares them with the refusals that callers received. */
public object RefusalAudit {
    /** Returns for each workspace the number of minutes in which at least one of its requests was refused. */
    public fun minutesRefused(stored: Collection<RefusalMinute>): Map<WorkspaceName, Int> =
        stored
            .flatMap { it.tallies }
            .mapNotNull { tally -> tally.workspace?.let { it to tally.minute } }
            .distinct()
            .groupingBy { it.first }
            .eachCount()

    /** Returns the kinds of refusal whose counts differ between [stored] and those that callers [received]. */
    public fun compare(
        stored: Collection<RefusalMinute>,
        received: Collection<Refusal>,
    ): List<RefusalDifference> {
        val storedCounts = stored.flatMap { it.tallies }.groupBy(Refusal::of) { it.count }.mapValues { it.value.sum() }
        val receivedCounts = received.groupingBy { it }.eachCount().mapValues { it.value.toLong() }
        return (storedCounts.keys + receivedCounts.keys)
            .map { RefusalDifference(it, stored = storedCounts[it] ?: 0, received = receivedCounts[it] ?: 0) }
            .filter { it.stored != it.received }
    }
}
