package tanagerlane.runtime.configuration

import tanagerlane.model.FailureDomain
import tanagerlane.model.Revision

/** The highest revision that a watcher of [domain] has confirmed to hold. */
public data class Confirmation(
    val domain: FailureDomain,
    val revision: Revision,
)
