package tanagerlane.idempotency

import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState

/**
 * Joins repeats of requests that may be run twice, at their home and in memory only.
 *
 * When it is full it forgets the oldest, which costs a second run and no more. Safe for use by several threads.
 */
public class DeduplicationTable(
    private val maximumRequests: Int = 10_000,
) {
    private val known = LinkedHashMap<ClaimKey, Repeated>()

    /** Decides on [request], which asks for what [digest] tells, under [key]. */
    @Synchronized
    public fun register(
        key: ClaimKey,
        request: RequestId,
        digest: Payload,
    ): ClaimDecision {
        val first = known[key]
        return when {
            first == null -> ClaimDecision.Granted.also { remember(key, Repeated(request, digest)) }
            first.digest != digest -> ClaimDecision.Refused(RunState.NOT_RUN, RefusalReason.CONFLICT)
            else -> ClaimDecision.Joined(first.request)
        }
    }

    /** Forgets [request], whose run gave no answer, so that a repeat runs anew. */
    @Synchronized
    public fun forget(
        key: ClaimKey,
        request: RequestId,
    ) {
        if (known[key]?.request == request) {
            known.remove(key)
        }
    }

    private fun remember(
        key: ClaimKey,
        repeated: Repeated,
    ) {
        known[key] = repeated
        if (known.size > maximumRequests) {
            known.remove(known.keys.first())
        }
    }

    private data class Repeated(
        val request: RequestId,
        val digest: Payload,
    )
}
