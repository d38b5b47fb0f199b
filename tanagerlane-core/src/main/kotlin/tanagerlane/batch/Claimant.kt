package tanagerlane.batch

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation

/** A process that claims chunks, identified by its host and incarnation. */
public data class Claimant(
    val owner: HostName,
    val incarnation: Incarnation,
)
