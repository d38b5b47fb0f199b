package tanagerlane.quarantine

import tanagerlane.message.CrashEvidence
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Evidence about a request that was lost because its target crashed.
 *
 * @property parts shared parts of its prompt with which no answer is known since
 * @property request the request, unless it was answered whole since or is an item of a job
 */
internal data class LostRequest(
    val id: EvidenceId,
    val target: TargetName,
    val at: Instant,
    val sentAt: Instant,
    val stage: LossStage,
    val parts: List<PromptPart>,
    val request: RequestDigest?,
) {
    /** Whether nothing is left that could be at fault. */
    val isSpent: Boolean get() = parts.isEmpty() && request == null

    /**
     * Returns what is left of the same evidence as another process knows it.
     *
     * The transit of a report makes crashes seem later, so that the earliest time is the best.
     */
    fun mergedWith(other: LostRequest): LostRequest {
        val advance = (at - other.at).takeIf { it > CLOCK_RESOLUTION } ?: Duration.ZERO
        return copy(
            at = at - advance,
            sentAt = sentAt - advance,
            parts = parts.filter { it in other.parts },
            request = request.takeIf { it == other.request },
        )
    }

    /** Returns the evidence as it is reported at [now]. */
    fun toMessage(now: Instant): CrashEvidence =
        CrashEvidence(
            observer = id.observer,
            incarnation = id.incarnation,
            number = id.number,
            target = target,
            age = now - at,
            hasBegun = stage == LossStage.BEGUN,
            parts = parts,
            isStreaming = stage == LossStage.STREAMING,
            request = request,
            sentAge = now - sentAt,
        )

    companion object {
        /** Number of parts of a prompt that are remembered. */
        const val MAXIMUM_PARTS = 8

        /** Difference of times up to which it is not worth it to reach the verdicts again. */
        private val CLOCK_RESOLUTION = 5.milliseconds

        /** Returns the evidence of a [message] that was received at [now]. */
        fun of(
            message: CrashEvidence,
            now: Instant,
        ) = LostRequest(
            id = EvidenceId(message.observer, message.incarnation, message.number),
            target = message.target,
            at = now - message.age,
            sentAt = now - maxOf(message.sentAge, message.age),
            stage =
                when {
                    message.isStreaming -> LossStage.STREAMING
                    message.hasBegun -> LossStage.BEGUN
                    else -> LossStage.WAITING
                },
            parts = message.parts.take(MAXIMUM_PARTS),
            request = message.request,
        )
    }
}

/** Identity of evidence, under which all processes know it. */
internal data class EvidenceId(
    val observer: HostName,
    val incarnation: Incarnation,
    val number: Long,
)
