package tanagerlane.idempotency

import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState

/**
 * Deduplicates repeats of idempotent requests at their home sidecar, in memory only.
 *
 * When the table is full it evicts the oldest request, which costs at most a second run of it. Thread-safe.
 */
public class DeduplicationTable(
    private val maximumRequests: Int = 10_000,
) {
    private val firstRequests = LinkedHashMap<ClaimKey, FirstRequest>()

    /** Decides on [request], sent under [key] with content that has [digest]. */
    @Synchronized
    public fun register(
        key: ClaimKey,
        request: RequestId,
        digest: Payload,
    ): ClaimDecision {
        val first = firstRequests[key]
        return when {
            first == null -> ClaimDecision.Granted.also { remember(key, FirstRequest(request, digest)) }
            first.digest != digest -> ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.CONFLICT)
            else -> ClaimDecision.Joined(first.request)
        }
    }

    /** Removes [request], whose run produced no answer, so that a repeat runs again. */
    @Synchronized
    public fun forget(
        key: ClaimKey,
        request: RequestId,
    ) {
        if (firstRequests[key]?.request == request) {
            firstRequests.remove(key)
        }
    }

    private fun remember(
        key: ClaimKey,
        firstRequest: FirstRequest,
    ) {
        firstRequests[key] = firstRequest
        if (firstRequests.size > maximumRequests) {
            firstRequests.remove(firstRequests.keys.first())
        }
    }

    private data class FirstRequest(
        val request: RequestId,
        val digest: Payload,
    )
}
