package tanagerlane.serving

import tanagerlane.model.RefusalReason
import tanagerlane.model.WorkspaceName

/**
 * Rules on whose a job is.
 *
 * The owner is the workspace whose key came with the submission, on an open route too; it is recorded with the job, and
 * the routes that are in force later do not change it. A job that came without a valid key to an open route has no owner.
 */
public object JobOwnership {
    /**
     * Returns why a caller may not read or end a job of [owner], or null if it may.
     *
     * @param caller workspace that holds the caller's key, or null if the key is missing or unknown
     * @param isCurrent whether the configuration is known to be the newest
     */
    public fun denialOf(
        owner: WorkspaceName?,
        caller: WorkspaceName?,
        configuration: ServingConfiguration,
        isCurrent: Boolean,
    ): RefusalReason? =
        when {
            owner == null || owner == caller || !configuration.needsKeys -> null
            caller != null -> RefusalReason.NOT_FOUND
            isCurrent -> RefusalReason.NO_KEY
            else -> RefusalReason.CONFIGURATION_STALE
        }

    /**
     * Whether a submission of [caller] repeats the one that was accepted for [owner].
     *
     * The key of one of them may have been withdrawn or not have been known yet, so only two different workspaces tell
     * submissions apart.
     */
    public fun isRepeat(
        owner: WorkspaceName?,
        caller: WorkspaceName?,
    ): Boolean = owner == null || caller == null || owner == caller

    /**
     * Whether a caller may make this process look for a job of which it knows nothing.
     *
     * Without a key only jobs of open routes can be read, so that nobody else can cause reads of the object API.
     */
    public fun mayLookUp(
        caller: WorkspaceName?,
        configuration: ServingConfiguration,
        host: String,
    ): Boolean = caller != null || !configuration.needsKeys || configuration.batchRoutesOf(host).any { it.open }
}
