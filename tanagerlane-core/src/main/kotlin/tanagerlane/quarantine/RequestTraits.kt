package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest

/**
 * What may tell a request that crashes targets from others.
 *
 * @property parts parts of the prompt that other requests may share, in order
 * @property request identity of the request, or null for an item of a job
 */
public data class RequestTraits(
    val parts: List<PromptPart>,
    val request: RequestDigest?,
)
