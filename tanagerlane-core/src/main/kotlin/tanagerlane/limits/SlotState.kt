package tanagerlane.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import tanagerlane.message.EntrySlot
import tanagerlane.model.HostName
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
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
    private var retryAt = Instant.DISTANT_PAST
    private val promisesReceived = HashMap<HostName, Instant>()
    private var promisedUntil = Instant.DISTANT_PAST

    var value: EntrySlot? = null
        private set

    var unchangedSince: Instant = Instant.DISTANT_FUTURE
        private set

    var lease: SlotLease? = null
        private set

    /** Whether this entry's claim is under way, perhaps with an outcome that is not known yet. */
    val isClaiming: Boolean
        get() = lease == null && possibleWrites().any { it.value.holder == settings.host }

    /** Whether this entry holds the slot and is not about to release it. */
    val isInUse: Boolean
        get() = lease?.let { it.releaseAt == null } ?: false

    /** Entries that may take the slot over while this one holds it, whichever writes took effect. */
    val possibleSuccessors: Set<HostName>
        get() = (possibleWrites().map { it.value.successor } + lease?.successor).filterNotNull().toSet()

    /** Whether a write may be decided on at [now]. */
    fun isReady(now: Instant): Boolean = writing == null && unchangedSince != Instant.DISTANT_FUTURE && now >= retryAt

    fun observe(
        record: SlotRecord,
        now: Instant,
    ) {
        val known = version
        if (known != null && (record.version == null || record.version < known)) {
            return
        }
        retryAt = Instant.DISTANT_PAST
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
        now: Instant,
    ) {
        result.fold(
            success = { written ->
                if (version.let { it == null || written > it }) {
                    change(write.value, written, now)
                }
            },
            failure = { failure ->
                retryAt = now + RETRY_PAUSE
                if (failure is StoreFailure.OutcomeUnknown && write.expected == version) {
                    unconfirmed = unconfirmed + write
                }
            },
        )
        writing = null
        extend(now)
    }

    /** Promises not to take the slot over from [holder] until [until], unless that may be under way or done. */
    fun promise(
        holder: HostName,
        until: Instant,
    ): Boolean {
        val isKept = !isClaiming && (value == null || value?.holder == holder)
        if (isKept) {
            promisedUntil = maxOf(promisedUntil, until)
        }
        return isKept
    }

    /** Whether this entry, as the successor, may take the slot over. */
    fun isLapsed(now: Instant): Boolean = now - unchangedSince >= times.takeoverTerm && now >= promisedUntil

    /** Notes the promise of [successor]; it extends the hold only if that has not lapsed. */
    fun acceptPromise(
        successor: HostName,
        until: Instant,
        now: Instant,
    ) {
        promisesReceived.merge(successor, until) { old, new -> maxOf(old, new) }
        extend(now)
    }

    /** Stops using the slot; its object is released once nothing that was counted before can still arrive. */
    fun stopUsing(now: Instant) {
        lease = lease?.let { if (it.releaseAt == null) it.copy(releaseAt = now + times.useTerm) else it }
    }

    private fun extend(now: Instant) {
        val current = lease ?: return
        if (now >= current.validUntil) {
            return
        }
        val promised = possibleSuccessors.minOfOrNull { promisesReceived[it] ?: Instant.DISTANT_PAST }
        val longest = current.renewedAt + times.longestHold
        val allowed = maxOf(promised ?: longest, current.renewedAt + times.holdTerm)
        lease = current.copy(validUntil = maxOf(current.validUntil, minOf(allowed, longest)))
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
            countedFrom = old?.countedFrom ?: maxOf(now + origin.countedAfter, promisedUntil),
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

    private companion object {
        /** Time after a failed write before it is tried again, unless the object is read before. */
        val RETRY_PAUSE = 1.seconds
    }
}
