package tanagerlane.standin.service

import kotlinx.serialization.Serializable

/** How often the service was called for one request. */
@Serializable
public data class ServiceRuns(
    val calls: Int,
)
