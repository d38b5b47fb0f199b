package tanagerlane.refusals

import tanagerlane.message.RefusalCopied
import tanagerlane.message.RefusalCopy
import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Counts this host's refusals, locally and on a peer, before the callers receive them.
 *
 * Memory grows with the number of workspaces, reasons and minutes not yet stored, not with the number of refusals.
 * Thread-safe.
 *
 * @param copyTimeout time after which a caller receives a refusal even if no peer has a copy
 */
public class RefusalLedger(
    private val host: HostName,
    private val incarnation: Incarnation,
    private val copyTimeout: Duration = 50.milliseconds,
) {
    /** Number of refusals that callers received before a peer had a copy. */
    @get:Synchronized
    public var unreplicated: Long = 0
        private set

    private val writer = RefusalWriter(host, incarnation)
    private val uncopied = LinkedHashMap<Refusal, RefusalTally>()
    private var lastTicket = 0L
    private var copiedTicket = 0L
    private var outstanding: Outstanding? = null
    private var sequence = 0L

    /** Counts a refusal, with a declared [workspace] or null; its caller may receive it once [mayRespond] allows it. */
    @Synchronized
    public fun record(
        workspace: WorkspaceName?,
        reason: RefusalReason,
        runState: RunState,
        now: Instant,
    ): RefusalTicket {
        val refusal = Refusal(Refusal.minuteOf(now), workspace, reason, runState)
        uncopied[refusal] = writer.add(refusal)
        lastTicket++
        return RefusalTicket(lastTicket, refusal, respondBy = now + copyTimeout)
    }

    /**
     * Returns whether the caller may receive the refusal of [ticket]: a peer has a copy, or the copy timed out.
     *
     * Call until it returns true and not again after that: each call that returns true after the timeout without a copy
     * counts in [unreplicated].
     */
    @Synchronized
    public fun mayRespond(
        ticket: RefusalTicket,
        now: Instant,
    ): Boolean {
        val isCopied = ticket.number <= copiedTicket
        if (!isCopied && now >= ticket.respondBy) {
            unreplicated++
        }
        return isCopied || now >= ticket.respondBy
    }

    /**
     * Returns the next copy for a peer in another failure domain, or null while an acknowledgement is outstanding or
     * nothing is new.
     */
    @Synchronized
    public fun nextCopy(now: Instant): RefusalCopy? {
        if (outstanding != null || uncopied.isEmpty()) {
            return null
        }
        sequence++
        val copy = RefusalCopy(host, incarnation, sequence, uncopied.values.toList(), storedBefore(now))
        outstanding = Outstanding(sequence, lastTicket)
        uncopied.clear()
        return copy
    }

    /** Handles a peer's acknowledgement; a late one is ignored. */
    @Synchronized
    public fun copied(message: RefusalCopied) {
        val awaited = outstanding ?: return
        if (message.sequence == awaited.sequence) {
            copiedTicket = awaited.throughTicket
            outstanding = null
        }
    }

    /** Records that the peer is lost; the next one receives every count that may not be in the object API yet. */
    @Synchronized
    public fun peerLost() {
        outstanding = null
        writer.all().forEach { uncopied[Refusal.of(it)] = it }
    }

    /** Returns the next write of a past minute, or null; with [includeCurrentMinute] also of the current one. */
    @Synchronized
    public fun nextFlush(
        now: Instant,
        includeCurrentMinute: Boolean = false,
    ): RefusalFlush? = writer.nextWrite(before = Refusal.minuteOf(now) + if (includeCurrentMinute) 1 else 0)

    /** Records that the write took effect as version [at]. */
    @Synchronized
    public fun flushed(
        at: ObjectVersion,
        now: Instant,
    ) {
        writer.written(at)
        writer.forgetBefore(Refusal.minuteOf(now) - 1)
    }

    /** Records that the write failed; [found] and [at] are what was read at its key, or null if nothing was read. */
    @Synchronized
    public fun flushFailed(
        found: RefusalMinute? = null,
        at: ObjectVersion? = null,
    ): Unit = writer.failed(found, at)

    private fun storedBefore(now: Instant): Long = writer.pendingMinutes.minOrNull() ?: Refusal.minuteOf(now)

    private class Outstanding(
        val sequence: Long,
        val throughTicket: Long,
    )
}
