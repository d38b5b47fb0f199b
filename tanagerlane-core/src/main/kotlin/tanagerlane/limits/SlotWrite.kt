package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A conditional write of a slot's object that its caller must make and report to [SlotLeases.writeCompleted].
 *
 * @property expected version that the object must have, or null where it must not exist
 * @property startedAt time of the decision
 * @property countedAfter time to wait after a claim until loans of this host's earlier incarnation are over
 */
public data class SlotWrite(
    val slot: Int,
    val value: EntrySlot,
    val expected: ObjectVersion?,
    val startedAt: Instant,
    val countedAfter: Duration = Duration.ZERO,
)
