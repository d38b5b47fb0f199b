package tanagerlane.standin.hosts

import kotlinx.serialization.Serializable

/** The platform's list of live and leaving hosts. */
@Serializable
public data class HostList(
    val hosts: List<ListedHost>,
)
