package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** Records that a request of which only the shared [parts] are known was lost before its first event. */
internal fun PromptQuarantine.lost(
    target: String,
    parts: List<PromptPart>,
    hasBegun: Boolean,
    now: Instant,
) {
    val stage = if (hasBegun) LossStage.BEGUN else LossStage.WAITING
    lost(TargetName(target), RequestTraits(parts, request = null), stage, sentAt = now, now = now)
}
