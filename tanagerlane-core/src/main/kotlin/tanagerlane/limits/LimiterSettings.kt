package tanagerlane.limits

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/**
 * Settings of a [FleetLimiter].
 *
 * @property slotCount number of slots that each rate is divided into; the same on all entries
 */
public data class LimiterSettings(
    val host: HostName,
    val incarnation: Incarnation,
    val slotCount: Int,
    val times: LimitTimes = LimitTimes(),
) {
    init {
        require(slotCount > 0) { "slot count is not positive: $slotCount" }
    }
}
