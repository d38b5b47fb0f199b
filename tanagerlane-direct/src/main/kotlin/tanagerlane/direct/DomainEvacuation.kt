package tanagerlane.direct

import tanagerlane.model.FailureDomain

/**
 * An operator's order to send nothing to the targets of a failure domain.
 *
 * @property domain failure domain to evacuate
 * @property isEnding whether the order is being removed and no longer applies
 */
public data class DomainEvacuation(
    val domain: FailureDomain,
    val isEnding: Boolean = false,
)
