package tanagerlane.direct

import tanagerlane.limits.Rate

/**
 * Weights of workspaces for fair sharing: their configured rates.
 *
 * A workspace without a rate weighs as much as those with one do on average, or 1 if there are none. Not thread-safe.
 */
internal class WorkspaceWeights {
    private var usual: Double? = null

    /** Returns the weight of a workspace with [rate], in relation to the other weights. */
    fun of(rate: Rate?): Double {
        if (rate == null) {
            return usual ?: 1.0
        }
        val weight = rate.perSecond.coerceAtLeast(MINIMUM_WEIGHT)
        usual = usual?.let { it + (weight - it) * LEARNING_RATE } ?: weight
        return weight
    }

    private companion object {
        const val MINIMUM_WEIGHT = 0.01
        const val LEARNING_RATE = 0.01
    }
}
