package tanagerlane.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure

/** In-memory store of the slot objects with conditional writes. */
internal class FakeStore(
    slotCount: Int,
) {
    var isDown = false
    private var latest = 0L
    private val records = MutableList(slotCount) { SlotRecord(it, value = null, version = null) }

    fun list(): List<SlotRecord>? = if (isDown) null else records.toList()

    fun put(write: SlotWrite): Result<ObjectVersion, StoreFailure> {
        val current = records[write.slot].version
        return when {
            isDown -> {
                Err(StoreFailure.Unavailable("down"))
            }

            current != write.expected -> {
                Err(StoreFailure.Conflict(SlotLeases.key(write.slot), current))
            }

            else -> {
                latest += 1
                records[write.slot] = SlotRecord(write.slot, write.value, ObjectVersion(latest))
                Ok(ObjectVersion(latest))
            }
        }
    }
}
