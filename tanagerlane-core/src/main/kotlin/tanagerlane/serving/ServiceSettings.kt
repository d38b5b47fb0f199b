package tanagerlane.serving

import tanagerlane.model.ServiceName
import kotlin.time.Duration

/**
 * The settings of a service that apply to each of its targets.
 *
 * @property coldTime time for which a target is cold after its start, or null if the service has no cold targets
 * @property coldRate requests per second that all processes together may send to a cold target, or null for no bound
 */
public data class ServiceSettings(
    val name: ServiceName,
    val coldTime: Duration? = null,
    val coldRate: Double? = null,
)
