package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import kotlin.time.Duration
import kotlin.time.Instant

/** Finds the parts of prompts, and the requests, that explain crashes of targets. */
internal class CrashAnalysis(
    private val settings: QuarantineSettings,
) {
    /**
     * Returns the parts that explain the crashes in which [lost] were lost before their first events.
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
        val beforeEvents = lost.filter { it.stage != LossStage.STREAMING && it.parts.isNotEmpty() }
        val unexplained = LinkedHashMap<PromptPart, MutableList<Crash>>()
        for (crash in groupByCrash(beforeEvents).map(::crashOf)) {
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

    /**
     * Returns what the crashes in which [lost] were lost tell about each request.
     *
     * A request is at fault if target after target crashed, each after it had been sent again. Requests that were under
     * way at targets that fail together are lost together, and nothing is sent in between. One request is at fault for a
     * crash, so one that is often under way beside it is not.
     */
    fun judge(lost: Collection<LostRequest>): Map<RequestDigest, SuspectedRequest> {
        if (lost.all { it.request == null }) {
            return emptyMap()
        }
        val losses = LinkedHashMap<RequestDigest, MutableList<Loss>>()
        groupByCrash(lost, splitsRestarts = true).forEachIndexed { crash, lostInIt ->
            val crashedAt = lostInIt.first().at
            // What was sent to a target that had crashed already is lost as well.
            for ((request, runs) in lostInIt.filter { it.sentAt <= crashedAt }.groupBy { it.request }) {
                if (request != null) {
                    losses.getOrPut(request) { ArrayList() } +=
                        Loss(crash, crashedAt, runs.maxOf { it.sentAt }, runs.size)
                }
            }
        }
        val suspected = losses.mapValues { (request, ofRequest) -> judge(request, ofRequest) }
        val guilty = losses.filterKeys { suspected.getValue(it).verdict != null }
        return suspected.mapValues { (request, suspicion) ->
            val isExplained = request in guilty && guilty.any { (other, _) -> explains(other, request, guilty) }
            if (isExplained) suspicion.copy(verdict = null) else suspicion
        }
    }

    /** Whether [other] was lost in all crashes of [request], and in more crashes or by fewer runs. */
    private fun explains(
        other: RequestDigest,
        request: RequestDigest,
        losses: Map<RequestDigest, List<Loss>>,
    ): Boolean {
        val ofOther = losses.getValue(other)
        val ofRequest = losses.getValue(request)
        return ofOther.map { it.crash }.containsAll(ofRequest.map { it.crash }) &&
            (ofOther.size > ofRequest.size || ofOther.sumOf { it.runs } < ofRequest.sumOf { it.runs })
    }

    private fun judge(
        request: RequestDigest,
        losses: List<Loss>,
    ): SuspectedRequest {
        val chain = longestChain(losses)
        val isGuilty =
            chain.crashes >= settings.crashesOfRequest &&
                chain.last.at - chain.first.at >= settings.minimumSpanOfRequest
        val verdict = QuarantinedRequest(request, chain.crashes, until = chain.last.at + termAfter(chain.crashes))
        return SuspectedRequest(losses.size, chain.crashes, verdict.takeIf { isGuilty })
    }

    /** Returns the most crashes that followed one another, each after the request had been sent again. */
    private fun longestChain(losses: List<Loss>): Chain {
        val chains = ArrayList<Chain>()
        for (loss in losses.sortedBy { it.at }) {
            val longest =
                chains
                    .filter { loss.sentAt >= it.last.at - settings.clockTolerance }
                    .maxWithOrNull(compareBy<Chain> { it.crashes }.thenByDescending { it.first.at })
            chains += Chain(longest?.first ?: loss, loss, crashes = (longest?.crashes ?: 0) + 1)
        }
        return chains.maxWith(compareBy({ it.crashes }, { it.last.at }))
    }

    /**
     * Returns the requests that were lost in each crash, in the order of their times.
     *
     * @param splitsRestarts whether a request that was sent to a target some time after its crash was lost in the next one
     */
    private fun groupByCrash(
        lost: Collection<LostRequest>,
        splitsRestarts: Boolean = false,
    ): List<List<LostRequest>> =
        lost
            .groupBy { it.target }
            .values
            .flatMap { splitByTime(it.sortedBy(LostRequest::at), splitsRestarts) }

    /** Splits the requests lost at one target, in the order of their times, into those lost in the same crash. */
    private fun splitByTime(
        lost: List<LostRequest>,
        splitsRestarts: Boolean,
    ): List<List<LostRequest>> {
        val crashes = ArrayList<MutableList<LostRequest>>()
        for (request in lost) {
            val latest = crashes.lastOrNull()
            val crashedAt = latest?.first()?.at
            when {
                crashedAt == null || request.at - crashedAt > settings.crashWindow -> {
                    crashes += mutableListOf(request)
                }

                splitsRestarts && request.sentAt - crashedAt > settings.minimumDownTime -> {
                    crashes +=
                        mutableListOf(request)
                }

                else -> {
                    latest += request
                }
            }
        }
        return crashes
    }

    /** Requests that only waited at the target are not at fault if the target had begun to answer another one. */
    private fun crashOf(lost: List<LostRequest>): Crash {
        val begun = lost.filter { it.stage == LossStage.BEGUN }
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

    private fun endOfTerm(suspect: Suspect): Instant = suspect.crashes.maxOf { it.at } + termAfter(suspect.crashes.size)

    private fun termAfter(crashes: Int): Duration {
        var term = settings.initialTerm
        repeat((crashes - settings.crashesWhileBeginning).coerceIn(0, MAXIMUM_FACTORS)) {
            term *= settings.termFactor
        }
        return minOf(term, settings.maximumTerm)
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

    /** A crash at which [runs] of a request were lost, and when the last of them had been sent. */
    private class Loss(
        val crash: Int,
        val at: Instant,
        val sentAt: Instant,
        val runs: Int,
    )

    /** Crashes that followed one another. */
    private class Chain(
        val first: Loss,
        val last: Loss,
        val crashes: Int,
    )

    private companion object {
        /** Bound on the repetitions of the factor, far above what reaches the maximum term. */
        const val MAXIMUM_FACTORS = 16
    }
}
