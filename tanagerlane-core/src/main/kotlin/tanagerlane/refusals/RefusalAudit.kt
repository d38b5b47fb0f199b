package tanagerlane.refusals

import tanagerlane.message.RefusalMinute
import tanagerlane.model.WorkspaceName

/** Works out what the stored refusals tell and compares them with what callers heard. */
public object RefusalAudit {
    /** Returns for each workspace in how many minutes at least one of its requests was refused. */
    public fun minutesRefused(stored: Collection<RefusalMinute>): Map<WorkspaceName, Int> =
        stored
            .flatMap { it.tallies }
            .mapNotNull { tally -> tally.workspace?.let { it to tally.minute } }
            .distinct()
            .groupingBy { it.first }
            .eachCount()

    /** Returns where [stored] and what callers [received] differ, by kind of refusal. */
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
