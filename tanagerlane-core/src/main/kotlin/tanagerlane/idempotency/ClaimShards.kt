package tanagerlane.idempotency

import tanagerlane.model.TargetName
import tanagerlane.routing.RendezvousHash
import tanagerlane.routing.StableHash
import tanagerlane.store.ObjectKey

/** Divides claims among objects and finds the home of each. */
public object ClaimShards {
    /** Returns the object that holds the claim on [key]. */
    public fun objectOf(
        key: ClaimKey,
        settings: ClaimSettings = ClaimSettings(),
    ): ObjectKey {
        val text = "${key.workspace.text.length}:${key.workspace.text}${key.key.text}"
        return ObjectKey("claims/${Math.floorMod(StableHash.of(text), settings.shards)}")
    }

    /**
     * Returns the target whose sidecar decides on claims in [shard], out of all [targets] that serve the request.
     *
     * All claims of an object have one home, so its writes are grouped; hosts that disagree on the targets only meet
     * conflicts.
     */
    public fun homeOf(
        shard: ObjectKey,
        targets: Collection<TargetName>,
    ): TargetName? = RendezvousHash.best(shard.path, targets) { it.text }

    /** Returns all [targets] in the order in which they become the home of [shard] as those before them are lost. */
    public fun homesOf(
        shard: ObjectKey,
        targets: Collection<TargetName>,
    ): List<TargetName> = RendezvousHash.ranked(shard.path, targets) { it.text }
}
