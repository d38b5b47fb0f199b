package tanagerlane.standin.engine

import kotlinx.serialization.Serializable

/**
 * How often the engine ran one request.
 *
 * @property starts runs from the first token
 * @property resumes runs from a later token
 * @property finished runs that reached the last token
 */
@Serializable
public data class RunCount(
    val starts: Int = 0,
    val resumes: Int = 0,
    val finished: Int = 0,
)
