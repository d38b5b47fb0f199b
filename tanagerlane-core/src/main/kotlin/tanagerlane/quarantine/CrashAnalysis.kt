package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import kotlin.time.Duration
import kotlin.time.Instant

/** Finds the parts of prompts that explain crashes of targets. */
internal class CrashAnalysis(
    private val settings: QuarantineSettings,
) {
    /**
     * Returns the parts that explain the crashes in which [lost] were lost.
     *
     * One request is at fault for a crash. If parts explain equally many crashes, the last one in the prompts is chosen,
     * as the first ones are shared with more other requests. Once a part is found, its crashes no longer count against
     * the parts that came with it.
     *
     * @param wasAnswered whether an answer was written with a part before, so that it takes more crashes to suspect it
     */
    fun explain(
        lost: Collection<LostRequest>,
        wasAnswered: (PromptPart) -> Boolean,
    ): List<QuarantinedPart> {
        val unexplained = LinkedHashMap<PromptPart, MutableList<Crash>>()
        for (crash in crashesOf(lost)) {
            crash.suspects.keys.forEach { unexplained.getOrPut(it) { ArrayList() } += crash }
        }
        unexplained.values.removeIf { it.size < minOf(settings.crashesWhileBeginning, settings.crashesWhileWaiting) }
        val found = ArrayList<QuarantinedPart>()
        while (true) {
            val suspect =
                unexplained
                    .map { (part, crashes) -> suspectOf(part, crashes.toList()) }
                    .filter { isGuilty(it, wasAnswered(it.part)) }
                    .maxWithOrNull(compareBy({ it.crashes.size }, { it.position }, { it.part.text }))
                    ?: return found
            found += QuarantinedPart(suspect.part, suspect.crashes.size, until = endOfTerm(suspect))
            for (crash in suspect.crashes) {
                crash.suspects.keys.forEach { unexplained[it]?.remove(crash) }
            }
            unexplained.values.removeIf { it.isEmpty() }
        }
    }

    private fun crashesOf(lost: Collection<LostRequest>): List<Crash> =
        lost
            .groupBy { it.target }
            .values
            .flatMap { splitByTime(it.sortedBy(LostRequest::at)) }
            .map(::crashOf)

    /** Splits the requests lost at one target, in the order of their times, into those lost in the same crash. */
    private fun splitByTime(lost: List<LostRequest>): List<List<LostRequest>> {
        val crashes = ArrayList<MutableList<LostRequest>>()
        for (request in lost) {
            val latest = crashes.lastOrNull()
            if (latest != null && request.at - latest.first().at <= settings.crashWindow) {
                latest += request
            } else {
                crashes += mutableListOf(request)
            }
        }
        return crashes
    }

    /** Requests that only waited at the target are not at fault if the target had begun to answer another one. */
    private fun crashOf(lost: List<LostRequest>): Crash {
        val begun = lost.filter { it.hasBegun }
        val suspects = HashMap<PromptPart, Int>()
        for (request in begun.ifEmpty { lost }) {
            request.parts.forEachIndexed { position, part -> suspects.merge(part, position, ::maxOf) }
        }
        return Crash(lost.first().at, hasBegun = begun.isNotEmpty(), suspects)
    }

    private fun suspectOf(
        part: PromptPart,
        crashes: List<Crash>,
    ) = Suspect(part, crashes, position = crashes.maxOf { it.suspects.getValue(part) })

    private fun isGuilty(
        suspect: Suspect,
        wasAnswered: Boolean,
    ): Boolean {
        val span: Duration = suspect.crashes.maxOf { it.at } - suspect.crashes.minOf { it.at }
        return (!wasAnswered && suspect.crashes.count { it.hasBegun } >= settings.crashesWhileBeginning) ||
            (suspect.crashes.size >= settings.crashesWhileWaiting && span >= settings.minimumSpan)
    }

    private fun endOfTerm(suspect: Suspect): Instant {
        var term = settings.initialTerm
        repeat((suspect.crashes.size - settings.crashesWhileBeginning).coerceAtMost(MAXIMUM_FACTORS)) {
            term *= settings.termFactor
        }
        return suspect.crashes.maxOf { it.at } + minOf(term, settings.maximumTerm)
    }

    /** A crash of a target; [suspects] maps the parts that may have caused it to their positions in the prompts. */
    private class Crash(
        val at: Instant,
        val hasBegun: Boolean,
        val suspects: Map<PromptPart, Int>,
    )

    private data class Suspect(
        val part: PromptPart,
        val crashes: List<Crash>,
        val position: Int,
    )

    private companion object {
        /** Bound on the repetitions of the factor, far above what reaches the maximum term. */
        const val MAXIMUM_FACTORS = 16
    }
}
