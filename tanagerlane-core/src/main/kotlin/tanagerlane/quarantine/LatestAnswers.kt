package tanagerlane.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Answers that this process has seen, by what they are evidence for; evidence of earlier crashes may arrive after them.
 *
 * @param maximum number of latest answers that are remembered
 */
internal class LatestAnswers<K>(
    private val maximum: Int,
) {
    private val latest =
        object : LinkedHashMap<K, Instant>() {
            override fun removeEldestEntry(eldest: Map.Entry<K, Instant>): Boolean = size > maximum
        }
    private val reported = HashMap<K, Instant>()

    /** Whether there is nothing to be reported. */
    val hasNoReports: Boolean get() = reported.isEmpty()

    operator fun contains(key: K): Boolean = key in latest

    /** Returns the time of the latest answer for [key], or null. */
    operator fun get(key: K): Instant? = latest[key]

    /** Remembers an answer for [key]. */
    fun record(
        key: K,
        now: Instant,
    ) {
        latest.remove(key)
        latest[key] = now
    }

    /** Reports the answer for [key] to the other processes for a while, as evidence of earlier crashes is known. */
    fun report(
        key: K,
        answeredAt: Instant,
    ) {
        reported[key] = answeredAt
    }

    /** Returns what is to be reported at [now], with the time since each answer. */
    fun reports(now: Instant): List<Pair<K, Duration>> =
        reported.map { (key, at) -> key to (now - at) }.also { reported.values.removeIf { now - it > REPORT_TIME } }

    private companion object {
        /** Time for which an answer is reported. */
        val REPORT_TIME = 1.seconds
    }
}
