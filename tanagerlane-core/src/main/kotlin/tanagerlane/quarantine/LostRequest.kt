package tanagerlane.quarantine

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** Evidence about prompts: a request that was lost before its first event because its target crashed. */
internal data class LostRequest(
    val id: EvidenceId,
    val target: TargetName,
    val at: Instant,
    val hasBegun: Boolean,
    val parts: List<PromptPart>,
)

/** Identity of evidence, under which all processes know it. */
internal data class EvidenceId(
    val observer: HostName,
    val incarnation: Incarnation,
    val number: Long,
)
