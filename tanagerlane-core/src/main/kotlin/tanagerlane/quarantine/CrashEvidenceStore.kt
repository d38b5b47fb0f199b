package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import kotlin.time.Instant

/**
 * Evidence that this process knows, and the verdicts that follow from it.
 *
 * @param wasAnswered whether an answer was written with a part before
 */
internal class CrashEvidenceStore(
    private val settings: QuarantineSettings,
    private val wasAnswered: (PromptPart) -> Boolean,
) {
    private val analysis = CrashAnalysis(settings)
    private val evidence = LinkedHashMap<EvidenceId, KnownEvidence>()

    /** Whether evidence has changed since the verdicts were reached. */
    private var isChanged = false

    /** Parts for which the evidence suffices, including those whose term is over. */
    var parts: Map<PromptPart, QuarantinedPart> = emptyMap()
        private set

    /** Requests about which there is evidence. */
    var requests: Map<RequestDigest, SuspectedRequest> = emptyMap()
        private set

    val isEmpty: Boolean get() = evidence.isEmpty()

    val all: Collection<KnownEvidence> get() = evidence.values

    operator fun get(id: EvidenceId): KnownEvidence? = evidence[id]

    /** Adds [known], or replaces what was known under the same id. */
    fun put(known: KnownEvidence) {
        evidence[known.request.id] = known
        isChanged = true
    }

    /** Applies [change] to the evidence of crashes before [time]; returns whether that has changed any. */
    fun shrink(
        time: Instant,
        change: (LostRequest) -> LostRequest,
    ): Boolean {
        var hasShrunk = false
        for (known in evidence.values) {
            val before = known.request
            if (before.at < time) {
                known.request = change(before)
                hasShrunk = hasShrunk || known.request !== before
            }
        }
        isChanged = isChanged || hasShrunk
        return hasShrunk
    }

    /** Forgets evidence that does not count any longer. */
    fun forget(now: Instant) {
        if (evidence.values.removeIf { known -> known.keptUntil < now && !counts(known.request, now) }) {
            isChanged = true
        }
    }

    /** Reaches the verdicts again if evidence has changed. */
    fun update() {
        while (evidence.size > settings.maximumEvidence) {
            evidence.remove(leastUseful().request.id)
        }
        if (isChanged) {
            isChanged = false
            val lost = evidence.values.map { it.request }
            parts = analysis.explain(lost, wasAnswered).associateBy { it.part }
            requests = analysis.judge(lost)
        }
    }

    /** Spent evidence is kept for a while, since other processes repeat it with what they know. */
    fun counts(
        request: LostRequest,
        now: Instant,
    ): Boolean {
        val terms = request.parts.mapNotNull { parts[it]?.until }
        val termOfRequest = requests[request.request]?.verdict?.until
        val countsUntil = (terms + listOfNotNull(request.at, termOfRequest)).max() + settings.evidenceLifetime
        return countsUntil >= now
    }

    /** Returns the oldest evidence, if possible one on which no verdict rests and from which none can come. */
    private fun leastUseful(): KnownEvidence =
        evidence.values.minWith(
            compareBy(
                { hasVerdict(it.request) },
                { !it.request.isSpent },
                { isRepeated(it.request) },
                { it.request.at },
            ),
        )

    /** Whether [request] was lost in several crashes, which tells more than the many lost in the same one. */
    private fun isRepeated(request: LostRequest): Boolean = (requests[request.request]?.crashes ?: 0) > 1

    private fun hasVerdict(request: LostRequest): Boolean =
        request.parts.any { it in parts } || requests[request.request]?.verdict != null
}
