package tanagerlane.sidecar

import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Target
import tanagerlane.model.ModelName
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.queueing.QueueSettings

/** Configuration of one target, taken from an inventory. */
internal class TargetConfiguration(
    inventory: Inventory,
    name: TargetName,
) {
    private val target: Target? = inventory.targets.find { it.name == name }
    private val weights = inventory.workspaces.associate { it.name to it.weight }
    private val maximumTokens = inventory.models.associate { it.name to it.maximumTokens }

    /** Whether the target is unknown or operators are taking it out of service. */
    val isLeaving: Boolean = target?.leaving ?: true

    /** Whether the target is known to refuse orders with an outdated fencing number. */
    val checksFencing: Boolean = target?.checksFencing ?: false

    /** Models that the target serves. */
    val models: Set<ModelName> = target?.models.orEmpty().toSet()

    /** Limits of the queue in front of the target. */
    val queueSettings: QueueSettings = queueSettingsOf(target?.window ?: 1)

    /** Weight of [workspace] relative to others; null stands for routes that are open to all callers. */
    fun weightOf(workspace: WorkspaceName?): Int = weights[workspace] ?: 1

    /** Maximum number of tokens that one request of [model] may generate. */
    fun maximumTokensOf(model: ModelName): Int = maximumTokens[model] ?: 1

    companion object {
        private const val TOKENS_PER_SEQUENCE = 8_192

        /** Limits of the queue in front of a target that runs up to [window] requests concurrently. */
        fun queueSettingsOf(window: Int): QueueSettings =
            QueueSettings(window = window, tokenBudget = window * TOKENS_PER_SEQUENCE)
    }
}
