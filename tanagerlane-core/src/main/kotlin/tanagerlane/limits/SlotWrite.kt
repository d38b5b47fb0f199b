package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A conditional write of a slot object. Its result must be reported to [SlotLeases.writeCompleted].
 *
 * @property expected version that the object must have, or null if it must not exist
 * @property startedAt time of the decision
 * @property countingDelay time after a claim before the share may be spent, so that loans by this host's earlier
 *   incarnation have ended
 */
public data class SlotWrite(
    val slot: Int,
    val value: EntrySlot,
    val expected: ObjectVersion?,
    val startedAt: Instant,
    val countingDelay: Duration = Duration.ZERO,
)
