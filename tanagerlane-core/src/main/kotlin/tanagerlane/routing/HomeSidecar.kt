package tanagerlane.routing

import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName

/** Selects the home of a request: the sidecar that handles all its repetitions. */
public object HomeSidecar {
    /** Returns the home of [idempotencyKey] of [workspace] among all [targets] that serve the request; null if none. */
    public fun of(
        workspace: WorkspaceName,
        idempotencyKey: String,
        targets: Collection<TargetName>,
    ): TargetName? {
        val key = "${workspace.text.length}:${workspace.text}$idempotencyKey"
        return RendezvousHash.best(key, targets) { it.text }
    }
}
