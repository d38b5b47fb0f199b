package tanagerlane.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import tanagerlane.message.EntrySlot
import tanagerlane.model.HostName
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Instant

/** What this entry knows of one slot. */
internal class SlotState(
    val number: Int,
    private val settings: SlotSettings,
) {
    private val times = settings.times
    private var version: ObjectVersion? = null
    private var writing: SlotWrite? = null
    private var unconfirmed = emptyList<SlotWrite>()
    private var mustObserve = true

    var value: EntrySlot? = null
        private set

    var unchangedSince: Instant = Instant.DISTANT_FUTURE
        private set

    var lease: SlotLease? = null
        private set

    /** Whether a write may be decided on. */
    val isReady: Boolean
        get() = writing == null && !mustObserve

    /** Whether this entry's claim is under way, perhaps with an outcome that is not known yet. */
    val isClaiming: Boolean
        get() = lease == null && possibleWrites().any { it.value.holder == settings.host }

    /** Whether this entry holds the slot and is not about to release it. */
    val isInUse: Boolean
        get() = lease?.let { it.releaseAt == null } ?: false

    /** Entries that may take the slot over while this one holds it, whichever writes took effect. */
    val possibleSuccessors: Set<HostName>
        get() = (possibleWrites().map { it.value.successor } + lease?.successor).filterNotNull().toSet()

    fun observe(
        record: SlotRecord,
        now: Instant,
    ) {
        val known = version
        if (known != null && (record.version == null || record.version < known)) {
            return
        }
        mustObserve = false
        if (unchangedSince == Instant.DISTANT_FUTURE || record.version != known) {
            change(record.value, record.version, now)
        }
    }

    /** Starts a conditional write; one that names a successor lets it take over later. */
    fun begin(
        newValue: EntrySlot,
        now: Instant,
        countedAfter: Duration = Duration.ZERO,
    ): SlotWrite {
        val write = SlotWrite(number, newValue, version, now, countedAfter)
        writing = write
        lease =
            lease?.let {
                val limit = if (newValue.successor == null) it.validUntil else now + times.holdTerm
                it.copy(attemptedAt = now, validUntil = minOf(it.validUntil, limit))
            }
        return write
    }

    fun conclude(
        write: SlotWrite,
        result: Result<ObjectVersion, StoreFailure>,
        promises: Map<HostName, Instant>,
        now: Instant,
    ) {
        result.fold(
            success = { written ->
                if (version.let { it == null || written > it }) {
                    change(write.value, written, now)
                }
            },
            failure = { failure ->
                mustObserve = failure is StoreFailure.Conflict || failure is StoreFailure.OutcomeUnknown
                if (failure is StoreFailure.OutcomeUnknown && write.expected == version) {
                    unconfirmed = unconfirmed + write
                }
            },
        )
        writing = null
        extend(promises, now)
    }

    /** Extends a hold that has not lapsed as far as the successors' [promises] allow. */
    fun extend(
        promises: Map<HostName, Instant>,
        now: Instant,
    ) {
        val current = lease ?: return
        if (now >= current.validUntil) {
            return
        }
        val promisedUntil = possibleSuccessors.minOfOrNull { promises[it] ?: Instant.DISTANT_PAST }
        val longest = current.renewedAt + times.longestHold
        val allowed = maxOf(promisedUntil ?: longest, current.renewedAt + times.holdTerm)
        lease = current.copy(validUntil = maxOf(current.validUntil, minOf(allowed, longest)))
    }

    /** Stops using the slot; its object is released once nothing that was counted before can still arrive. */
    fun stopUsing(now: Instant) {
        lease = lease?.let { if (it.releaseAt == null) it.copy(releaseAt = now + times.useTerm) else it }
    }

    private fun change(
        newValue: EntrySlot?,
        newVersion: ObjectVersion?,
        now: Instant,
    ) {
        val own = possibleWrites()
        value = newValue
        version = newVersion
        unchangedSince = now
        unconfirmed = emptyList()
        val origin = own.minByOrNull { it.startedAt }
        lease =
            if (newValue?.holder == settings.host && origin != null &&
                isOwn(newValue)
            ) {
                renewed(origin, newValue, now)
            } else {
                null
            }
    }

    private fun renewed(
        origin: SlotWrite,
        newValue: EntrySlot,
        now: Instant,
    ): SlotLease {
        val holdUntil = origin.startedAt + if (newValue.successor == null) times.longestHold else times.holdTerm
        val old = lease
        return SlotLease(
            countedFrom = old?.countedFrom ?: (now + origin.countedAfter),
            renewedAt = origin.startedAt,
            successor = newValue.successor,
            attemptedAt = old?.attemptedAt ?: origin.startedAt,
            validUntil = if (old == null) holdUntil else maxOf(old.validUntil, holdUntil),
            releaseAt = old?.releaseAt,
        )
    }

    private fun isOwn(newValue: EntrySlot): Boolean =
        newValue.holder == settings.host && newValue.incarnation == settings.incarnation

    private fun possibleWrites(): List<SlotWrite> = unconfirmed + listOfNotNull(writing)
}
