package tanagerlane.idempotency

import tanagerlane.model.TargetName
import tanagerlane.routing.RendezvousHash
import tanagerlane.routing.StableHash
import tanagerlane.store.ObjectKey

/** Maps claims to the objects that store them and objects to their home, the target whose sidecar decides on claims. */
public object ClaimShards {
    /** Returns the key of the object that stores the claim on [key]. */
    public fun objectOf(
        key: ClaimKey,
        settings: ClaimSettings = ClaimSettings(),
    ): ObjectKey {
        val text = "${key.workspace.text.length}:${key.workspace.text}${key.key.text}"
        return ObjectKey("claims/${Math.floorMod(StableHash.of(text), settings.shards)}")
    }

    /**
     * Returns the target among [targets], all of which serve the request, whose sidecar decides on claims in [shard].
     *
     * All claims of an object have one home, so that its writes are batched. Hosts that disagree on the targets cause
     * nothing worse than write conflicts.
     */
    public fun homeOf(
        shard: ObjectKey,
        targets: Collection<TargetName>,
    ): TargetName? = RendezvousHash.best(shard.path, targets) { it.text }

    /** Returns all [targets] in the order in which they become the home of [shard] when those before them are lost. */
    public fun homesOf(
        shard: ObjectKey,
        targets: Collection<TargetName>,
    ): List<TargetName> = RendezvousHash.ranked(shard.path, targets) { it.text }
}
