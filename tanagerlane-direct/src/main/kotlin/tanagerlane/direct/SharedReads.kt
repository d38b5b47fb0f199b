package tanagerlane.direct

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Reads of the object API that several callers share.
 *
 * @param pause least time between the beginnings of two reads
 * @param read reads once; returns whether that has succeeded
 */
internal class SharedReads(
    private val pause: Duration,
    private val now: () -> Instant,
    private val read: suspend () -> Boolean,
) {
    private val lock = Mutex()
    private var begun = 0L
    private var begunAt: Instant? = null

    /** The last read that has ended; one whose caller has left meanwhile was given up. */
    private var ended = 0L
    private var hasSucceeded = false

    /** Returns whether a read has succeeded that began later than this call. */
    suspend fun read(): Boolean {
        val needed = begun + 1
        return lock.withLock {
            if (ended < needed) {
                begunAt?.let { delay(it + pause - now()) }
                val number = ++begun
                begunAt = now()
                hasSucceeded = read.invoke()
                ended = number
            }
            hasSucceeded
        }
    }
}
