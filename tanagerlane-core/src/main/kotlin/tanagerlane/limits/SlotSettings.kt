package tanagerlane.limits

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/**
 * What [SlotLeases] must know from its start.
 *
 * @property slotCount slots among which rates are divided; the same on all entries
 * @property address IP number that other processes reach this one by
 * @property wirePort port for other processes of the system
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
