package tanagerlane.limits

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/**
 * Settings of [SlotLeases].
 *
 * @property slotCount number of slots that each rate is divided into; the same on all entries
 * @property address IP address at which other processes reach this entry
 * @property wirePort port at which other processes of the system reach this entry
 */
public data class SlotSettings(
    val host: HostName,
    val incarnation: Incarnation,
    val address: String,
    val wirePort: Int,
    val slotCount: Int,
    val times: SlotTimes = SlotTimes(),
) {
    init {
        require(slotCount > 0) { "slot count is not positive: $slotCount" }
    }
}
