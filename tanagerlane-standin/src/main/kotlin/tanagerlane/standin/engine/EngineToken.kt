package tanagerlane.standin.engine

import tanagerlane.model.RequestId

/**
 * A token that a step generated.
 *
 * @property number place in the answer, from 0
 * @property last whether the answer is complete
 */
public data class EngineToken(
    val id: RequestId,
    val number: Int,
    val text: String,
    val last: Boolean,
)
