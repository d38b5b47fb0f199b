package tanagerlane.jobs

import tanagerlane.model.ModelName

/**
 * The target that a worker runs items on.
 *
 * @property models returns the models whose items it can run now
 * @property idleCapacity returns how many items may run at this moment, those that run already included
 * @property runItem runs one item; it is cancelled when the job is
 */
public data class BatchTarget(
    val models: () -> Set<ModelName>,
    val idleCapacity: () -> Int,
    val runItem: suspend (ItemRun) -> ItemOutcome,
)
