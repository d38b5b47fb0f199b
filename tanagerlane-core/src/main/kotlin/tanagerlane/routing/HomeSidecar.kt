package tanagerlane.routing

import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName

/** Finds the sidecar at which all repeats of one request meet. */
public object HomeSidecar {
    /** Returns the home of [idempotencyKey] of [workspace] among all [targets] that serve the request, or null. */
    public fun of(
        workspace: WorkspaceName,
        idempotencyKey: String,
        targets: Collection<TargetName>,
    ): TargetName? {
        val key = "${workspace.text.length}:${workspace.text}$idempotencyKey"
        return RendezvousHash.best(key, targets) { it.text }
    }
}
