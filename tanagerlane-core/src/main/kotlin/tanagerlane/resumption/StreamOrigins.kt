package tanagerlane.resumption

import tanagerlane.message.StreamOrigin
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Where the latest streams began. Not thread-safe.
 *
 * @param maximum number of streams that are remembered; the oldest are forgotten first
 */
internal class StreamOrigins(
    private val maximum: Int,
) {
    private val byAttempt = LinkedHashMap<RequestId, Recorded>()

    val size: Int get() = byAttempt.size

    /**
     * Remembers [origin], which is [StreamOrigin.age] old at [now]; an earlier one of the same attempt stays.
     *
     * Ids of attempts are chosen by callers; one with more than [MAXIMUM_ATTEMPT_CHARACTERS] is ignored.
     */
    fun record(
        origin: StreamOrigin,
        now: Instant,
        isOwn: Boolean,
    ) {
        if (origin.attempt.text.length > MAXIMUM_ATTEMPT_CHARACTERS) {
            return
        }
        byAttempt.putIfAbsent(origin.attempt, Recorded(origin, now - origin.age, isOwn))
        if (byAttempt.size > maximum) {
            byAttempt.remove(byAttempt.keys.first())
        }
    }

    /** Forgets streams that began longer than [lifetime] ago. */
    fun expire(
        lifetime: Duration,
        now: Instant,
    ) {
        byAttempt.values.removeIf { now - it.begunAt > lifetime }
    }

    /** Returns where the stream of [attempt] began, or null if that is not known. */
    fun find(
        attempt: RequestId,
        now: Instant,
    ): StreamOrigin? = byAttempt[attempt]?.at(now)

    /** Returns the streams of [service] that began at this process. */
    fun ownOf(
        service: ServiceName,
        now: Instant,
    ): List<StreamOrigin> = byAttempt.values.filter { it.isOwn && it.origin.service == service }.map { it.at(now) }

    private class Recorded(
        val origin: StreamOrigin,
        val begunAt: Instant,
        val isOwn: Boolean,
    ) {
        fun at(now: Instant): StreamOrigin = origin.copy(age = (now - begunAt).coerceAtLeast(Duration.ZERO))
    }

    private companion object {
        const val MAXIMUM_ATTEMPT_CHARACTERS = 100
    }
}
