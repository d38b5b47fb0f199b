package tanagerlane.routing

import tanagerlane.inventory.Target
import tanagerlane.model.HostName
import tanagerlane.model.TargetName

/**
 * Selects the subset of sidecars to which an entry keeps connections.
 *
 * Each entry ranks the targets independently, so adding or removing a target or an entry moves no other connection.
 * Targets are taken from the failure domains in turn, so that after the loss of a domain an entry still has targets in
 * all others.
 */
public object SidecarSubset {
    /** Returns [size] of the [targets] for [entry], or all if there are fewer. */
    public fun of(
        entry: HostName,
        targets: Collection<Target>,
        size: Int,
    ): Set<TargetName> {
        require(size > 0) { "size must be positive: $size" }
        val domains = RendezvousHash.ranked(entry.text, targets.groupBy { it.failureDomain.text }.entries) { it.key }
        val ranked = domains.map { (_, members) -> RendezvousHash.ranked(entry.text, members) { it.name.text } }
        val rounds = ranked.maxOfOrNull { it.size } ?: 0
        return (0 until rounds)
            .asSequence()
            .flatMap { round -> ranked.mapNotNull { it.getOrNull(round)?.name } }
            .take(size)
            .toSet()
    }
}
