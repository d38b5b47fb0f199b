package tanagerlane.configuration

import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName

/** A process that takes part in the relay of configurations. */
public data class RelayMember(
    val host: HostName,
    val failureDomain: FailureDomain,
)
