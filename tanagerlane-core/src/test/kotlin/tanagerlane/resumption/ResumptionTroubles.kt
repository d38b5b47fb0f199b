package tanagerlane.resumption

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Processes that are killed at once. */
internal enum class Kill { ONE_ENTRY, SOME_ENTRIES, ALL_ENTRIES, ALL_PROCESSES, FAILURE_DOMAIN }

/**
 * Size and troubles of a simulated run.
 *
 * @property streamsPerSecond number of streams that callers begin per second
 * @property kill processes that are killed every [killPause]
 * @property lossShare share of datagrams that are lost
 * @property staleFor time for which the view of one process at a time is not updated
 * @property isCut whether a process with a stale view exchanges no messages with the others either
 * @property group how a group of processes gets out of step, or null; for each of [GROUP_TIMES] in turn
 * @property areAddressesKept whether a target that starts again with another version listens at the same address
 */
internal data class ResumptionTroubles(
    val name: String,
    val entries: Int = 5,
    val runners: Int = 4,
    val streamsPerSecond: Int = 40,
    val kill: Kill = Kill.ONE_ENTRY,
    val killPause: Duration = 4.seconds,
    val lossShare: Double = 0.01,
    val staleFor: Duration = Duration.ZERO,
    val isCut: Boolean = false,
    val areAddressesKept: Boolean = false,
    val length: Duration = 50.seconds,
    val group: GroupTrouble? = null,
) {
    companion object {
        val GROUP_TIMES = listOf(1.seconds, 2.seconds, 2900.milliseconds, 5.seconds)
    }
}

/** What a simulated run has shown. */
internal class ResumptionOutcome {
    var streams = 0
    var begun = 0

    /** Streams whose events come from several versions. */
    val joined = ArrayList<String>()

    /** Take-ups that an entry has decided. */
    var takeUps = 0

    /** Take-ups that were refused as it was unknown which version began the stream, or which targets are in service. */
    var unknown = 0

    /** Take-ups at entries that have run for long enough, of streams whose version has several targets. */
    var possible = 0

    /** Those of [possible] that went on. */
    var continued = 0

    /** Those of [possible] at entries that are out of step, or were until shortly before. */
    var possibleOutOfStep = 0

    /** Those of [possibleOutOfStep] that went on. */
    var continuedOutOfStep = 0
    var reports = 0
    var queries = 0

    /** Reads of the store for take-ups; those at the same time are not counted as one. */
    var reads = 0
    var replies = 0

    /** Share of [possible] that went on, divided by the share of new streams that began. */
    val continuedShare: Double
        get() = if (possible == 0) 1.0 else continued.toDouble() / possible * streams / begun

    /** As [continuedShare], at entries in step. */
    val inStepShare: Double
        get() = share(continued - continuedOutOfStep, possible - possibleOutOfStep)

    /** As [continuedShare], at entries out of step. */
    val outOfStepShare: Double
        get() = share(continuedOutOfStep, possibleOutOfStep)

    operator fun plusAssign(other: ResumptionOutcome) {
        streams += other.streams
        begun += other.begun
        joined += other.joined
        takeUps += other.takeUps
        unknown += other.unknown
        possible += other.possible
        continued += other.continued
        possibleOutOfStep += other.possibleOutOfStep
        continuedOutOfStep += other.continuedOutOfStep
        reports += other.reports
        queries += other.queries
        reads += other.reads
        replies += other.replies
    }

    override fun toString(): String =
        "%d streams, %d joined, %d take-ups, %.3f unknown, %d possible, %.3f of them continued, ".format(
            streams,
            joined.size,
            takeUps,
            if (takeUps == 0) 0.0 else unknown.toDouble() / takeUps,
            possible,
            continuedShare,
        ) +
            "per stream %.2f reports, %.2f queries, %.2f replies".format(
                reports.toDouble() / streams,
                queries.toDouble() / streams,
                replies.toDouble() / streams,
            ) + ", %.2f reads per take-up".format(reads.toDouble() / takeUps) +
            ", in step %.3f, out of step %.3f of %d".format(inStepShare, outOfStepShare, possibleOutOfStep)

    private fun share(
        continued: Int,
        possible: Int,
    ): Double = if (possible == 0) 1.0 else continued.toDouble() / possible * streams / begun
}
