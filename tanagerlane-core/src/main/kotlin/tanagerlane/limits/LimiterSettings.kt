package tanagerlane.limits

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/**
 * What a [FleetLimiter] must know from its start.
 *
 * @property slotCount slots among which rates are divided; the same on all entries
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
