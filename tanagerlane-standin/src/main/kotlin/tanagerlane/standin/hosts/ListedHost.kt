package tanagerlane.standin.hosts

import kotlinx.serialization.Serializable
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName

/**
 * A host in the platform's list.
 *
 * @property leaving whether the platform is about to take the host away
 */
@Serializable
public data class ListedHost(
    val name: HostName,
    val address: String,
    val failureDomain: FailureDomain,
    val leaving: Boolean = false,
)
