package tanagerlane.limits

import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName

/** Another entry that is assumed to be alive. */
public data class EntryPeer(
    val host: HostName,
    val failureDomain: FailureDomain,
)
