package tanagerlane.places

import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import kotlin.time.Duration

/**
 * One incarnation of a target that processes call directly.
 *
 * @property address IP address and port
 * @property places number of requests that it runs concurrently
 * @property leaving whether it is shutting down and accepts no new requests
 * @property version version of the software of this incarnation; empty where the platform does not tell versions apart
 * @property coldTime time for which it stayed cold when its registration was written, or null if that does not tell
 */
public data class DirectTarget(
    val name: TargetName,
    val service: ServiceName,
    val address: String,
    val failureDomain: FailureDomain,
    val places: Int,
    val leaving: Boolean = false,
    val coldTime: Duration? = Duration.ZERO,
    val version: SoftwareVersion = SoftwareVersion(""),
)
