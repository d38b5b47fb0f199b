package tanagerlane.jobs

/**
 * Limits on one submission.
 *
 * @property items most items
 * @property models most models that the items name together
 */
public data class JobLimits(
    val items: Int = 150_000,
    val models: Int = 16,
) {
    init {
        require(items > 0) { "items must be positive: $items" }
        require(models in 1..MAXIMUM_MODELS) { "models out of range: $models" }
    }

    private companion object {
        const val MAXIMUM_MODELS = 127
    }
}
