package tanagerlane.standin.engine

import kotlin.time.Duration

/**
 * One step of the engine.
 *
 * @property duration time that the step takes
 * @property tokens tokens that are there when the step ends
 */
public data class EngineStep(
    val duration: Duration,
    val tokens: List<EngineToken>,
)
