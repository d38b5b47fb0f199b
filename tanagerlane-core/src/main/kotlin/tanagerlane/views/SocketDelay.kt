package tanagerlane.views

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Bounds how long what a process reads from its sockets has lain there, however long the process stood still.
 *
 * The process sends probes to a socket of its own. What it reads there after a probe has arrived after the probe was sent.
 * Not thread-safe.
 *
 * @param startedAt time at which the sockets were opened, or an earlier one
 * @param lastProbe number before the one of the first probe; probes of an earlier instance must not have the same numbers
 * @param tolerance bound up to which a delay counts as none, as probes are sent at intervals
 */
public class SocketDelay(
    startedAt: Instant,
    private var lastProbe: Long,
    private val tolerance: Duration,
) {
    private val sent = ArrayDeque<Probe>()
    private var arrivedAfter = startedAt
    private var arrivedElsewhereAfter = startedAt

    /** Records that a probe is sent at [now]; returns its number. */
    public fun send(now: Instant): Long {
        if (sent.size == MAXIMUM_SENT) {
            sent.removeFirst()
        }
        sent += Probe(++lastProbe, now, arrivedAfter)
        return lastProbe
    }

    /** Records that the probe with this [number] was read; one that is unknown or older than another one is ignored. */
    public fun read(number: Long) {
        val probe = sent.firstOrNull { it.number == number } ?: return
        sent.removeAll { it.number <= number }
        arrivedAfter = probe.sentAt
        arrivedElsewhereAfter = probe.readBefore
    }

    /** Returns the time for which what is read at [now] may have lain in the socket of the probes. */
    public fun ofProbes(now: Instant): Duration = delay(arrivedAfter, now)

    /**
     * Returns the time for which what is read at [now] may have lain in another socket of the same event loop.
     *
     * A probe that is read tells nothing about other sockets, but they are read before the next probe is sent.
     */
    public fun ofOthers(now: Instant): Duration = delay(arrivedElsewhereAfter, now)

    private fun delay(
        since: Instant,
        now: Instant,
    ): Duration = (now - since).takeIf { it > tolerance } ?: Duration.ZERO

    /** A probe that was sent when all that was read from its socket had arrived after [readBefore]. */
    private data class Probe(
        val number: Long,
        val sentAt: Instant,
        val readBefore: Instant,
    )

    private companion object {
        /** Probes that are remembered; a full socket loses them. */
        const val MAXIMUM_SENT = 100
    }
}
