package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.model.HostName
import tanagerlane.model.TargetName

/**
 * Picks the few sidecars to which an entry keeps connections.
 *
 * Each entry ranks the targets for itself, so a target or an entry that comes or goes moves no other connection; the
 * failure domains take turns, so that the loss of one leaves an entry with targets in all others.
 */
public object SidecarSubset {
    /** Returns [size] of [targets] for [entry], or all where there are fewer. */
    public fun of(
        entry: HostName,
        targets: Collection<Target>,
        size: Int,
    ): Set<TargetName> {
        require(size > 0) { "size must be positive: $size" }
        val domains = RendezvousHash.ranked(entry.text, targets.groupBy { it.failureDomain.text }.entries) { it.key }
        val ranked = domains.map { (_, members) -> RendezvousHash.ranked(entry.text, members) { it.name.text } }
        val turns = ranked.maxOfOrNull { it.size } ?: 0
        return (0 until turns)
            .asSequence()
            .flatMap { turn -> ranked.mapNotNull { it.getOrNull(turn)?.name } }
            .take(size)
            .toSet()
    }
}
