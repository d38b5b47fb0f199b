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
 * Counts this host's refusals, here and on a peer, before their callers hear them.
 *
 * Memory grows with workspaces, reasons and minutes not yet stored, not with refusals. Safe for use by several threads.
 *
 * @param copyTimeout time after which a caller hears a refusal that no peer has
 */
public class RefusalLedger(
    private val host: HostName,
    private val incarnation: Incarnation,
    private val copyTimeout: Duration = 50.milliseconds,
) {
    /** Refusals that callers heard before a peer had them. */
    @get:Synchronized
    public var unreplicated: Long = 0
        private set

    private val writer = RefusalWriter(host, incarnation)
    private val uncopied = LinkedHashMap<Refusal, RefusalTally>()
    private var lastTicket = 0L
    private var copiedTicket = 0L
    private var outstanding: Outstanding? = null
    private var sequence = 0L

    /** Counts a refusal, with a [workspace] that is declared or null; its caller hears it when [mayRespond] says so. */
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

    /** Whether the caller of [ticket] may hear it: a peer has it, or the time is up. Ask until it holds, then no more. */
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

    /** Returns what to send to a peer in another failure domain, or null while an answer is awaited or nothing is new. */
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

    /** Takes in a peer's answer; a late one is ignored. */
    @Synchronized
    public fun copied(message: RefusalCopied) {
        val awaited = outstanding ?: return
        if (message.sequence == awaited.sequence) {
            copiedTicket = awaited.throughTicket
            outstanding = null
        }
    }

    /** The peer is lost: another one gets everything that is not in the object API. */
    @Synchronized
    public fun peerLost() {
        outstanding = null
        writer.all().forEach { uncopied[Refusal.of(it)] = it }
    }

    /** Returns the next write of a minute that has passed, or null; [includeCurrentMinute] writes the present minute too. */
    @Synchronized
    public fun nextFlush(
        now: Instant,
        includeCurrentMinute: Boolean = false,
    ): RefusalFlush? = writer.next(before = Refusal.minuteOf(now) + if (includeCurrentMinute) 1 else 0)

    /** Takes in that the write took effect. */
    @Synchronized
    public fun flushed(
        at: ObjectVersion,
        now: Instant,
    ) {
        writer.written(at)
        writer.forgetBefore(Refusal.minuteOf(now) - 1)
    }

    /** Takes in that the write failed; [found] and [at] are what was read at its key, or null where nothing was. */
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
