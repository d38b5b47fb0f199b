package tanagerlane.batch

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/** A process that claims chunks. */
public data class Claimant(
    val owner: HostName,
    val incarnation: Incarnation,
)
