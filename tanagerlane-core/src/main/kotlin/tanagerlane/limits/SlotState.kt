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

/** State of one slot as known to this entry: the stored object, the lease, promises and consents. */
internal class SlotState(
    val number: Int,
    private val settings: SlotSettings,
) {
    private val times = settings.times
    private var version: ObjectVersion? = null
    private var pendingWrite: SlotWrite? = null
    private var unconfirmedWrites = emptyList<SlotWrite>()
    private var retryAt = Instant.DISTANT_PAST
    private val promisesReceived = HashMap<HostName, Instant>()
    private val consentsReceived = HashMap<HostName, Instant>()
    private var promisedUntil = Instant.DISTANT_PAST
    private var consentedUntil = Instant.DISTANT_PAST

    var value: EntrySlot? = null
        private set

    var unchangedSince: Instant = Instant.DISTANT_FUTURE
        private set

    var lease: SlotLease? = null
        private set

    /** Whether a claim by this entry is in progress or has an unknown outcome. */
    val isClaiming: Boolean
        get() = lease == null && possibleWrites().any { it.value.holder == settings.host }

    /** Whether this entry holds the slot and is not about to release it. */
    val isInUse: Boolean
        get() = lease?.let { it.releaseAt == null } ?: false

    /** Sets of successors that can jointly allow a takeover, one for each write that may have taken effect. */
    val possibleSuccessors: List<Set<HostName>>
        get() = (possibleWrites().map { it.value.successors } + listOfNotNull(lease?.successors)).map { it.toSet() }

    /** Whether a write may start at [now]. */
    fun canWrite(now: Instant): Boolean =
        pendingWrite == null && unchangedSince != Instant.DISTANT_FUTURE && now >= retryAt

    fun observe(
        record: SlotRecord,
        now: Instant,
    ) {
        val knownVersion = version
        if (knownVersion != null && (record.version == null || record.version < knownVersion)) {
            return
        }
        retryAt = Instant.DISTANT_PAST
        if (unchangedSince == Instant.DISTANT_FUTURE || record.version != knownVersion) {
            replaceValue(record.value, record.version, now)
        }
    }

    /**
     * Starts a conditional write. If it names successors, they may take the slot over later, so the lease then lasts
     * for [SlotTimes.holdTerm] from [now] at most.
     */
    fun beginWrite(
        newValue: EntrySlot,
        now: Instant,
        countingDelay: Duration = Duration.ZERO,
    ): SlotWrite {
        val write = SlotWrite(number, newValue, version, now, countingDelay)
        pendingWrite = write
        lease =
            lease?.let {
                val limit = if (newValue.successors.isEmpty()) it.validUntil else now + times.holdTerm
                it.copy(attemptedAt = now, validUntil = minOf(it.validUntil, limit))
            }
        return write
    }

    fun completeWrite(
        write: SlotWrite,
        result: Result<ObjectVersion, StoreFailure>,
        now: Instant,
    ) {
        result.fold(
            success = { written ->
                if (version.let { it == null || written > it }) {
                    replaceValue(write.value, written, now)
                }
            },
            failure = { failure ->
                retryAt = now + RETRY_PAUSE
                if (failure is StoreFailure.OutcomeUnknown && write.expected == version) {
                    unconfirmedWrites = unconfirmedWrites + write
                }
            },
        )
        pendingWrite = null
        extendLease(now)
    }

    /** Promises the holder not to take the slot over until [until], unless consent was given to another successor. */
    fun promise(
        until: Instant,
        now: Instant,
    ): Boolean {
        if (now < consentedUntil) {
            return false
        }
        promisedUntil = maxOf(promisedUntil, until)
        return true
    }

    /** Consents to a takeover by another successor, provided that the promises given by this entry have expired. */
    fun consent(
        until: Instant,
        now: Instant,
    ): Boolean {
        if (now < promisedUntil) {
            return false
        }
        consentedUntil = maxOf(consentedUntil, until)
        return true
    }

    fun acceptConsent(
        from: HostName,
        until: Instant,
    ) {
        consentsReceived[from] = until
    }

    /** Other successors whose consent to a takeover is missing; null while this entry may not take the slot over. */
    fun missingConsents(now: Instant): Set<HostName>? {
        val successors = value?.successors.orEmpty().toSet()
        val isTakeoverDue = now - unchangedSince >= times.takeoverTerm && now >= promisedUntil
        if (lease != null || settings.host !in successors || !isTakeoverDue) {
            return null
        }
        return (successors - settings.host).filter { now >= (consentsReceived[it] ?: Instant.DISTANT_PAST) }.toSet()
    }

    /** Records the promise of [successor]; it extends the lease only if that has not expired. */
    fun acceptPromise(
        successor: HostName,
        until: Instant,
        now: Instant,
    ) {
        promisesReceived.merge(successor, until) { old, new -> maxOf(old, new) }
        extendLease(now)
    }

    /** Stops using the slot; its object is released once no request that was admitted from it can still arrive. */
    fun stopUsing(now: Instant) {
        lease = lease?.let { if (it.releaseAt == null) it.copy(releaseAt = now + times.useTerm) else it }
    }

    private fun extendLease(now: Instant) {
        val current = lease ?: return
        if (now >= current.validUntil) {
            return
        }
        val longest = current.renewedAt + times.maximumHoldTerm
        val promised = possibleSuccessors.minOf { set -> if (set.isEmpty()) longest else set.maxOf(::promiseEnd) }
        val allowed = maxOf(promised, current.renewedAt + times.holdTerm)
        lease = current.copy(validUntil = maxOf(current.validUntil, minOf(allowed, longest)))
    }

    private fun promiseEnd(successor: HostName): Instant = promisesReceived[successor] ?: Instant.DISTANT_PAST

    private fun replaceValue(
        newValue: EntrySlot?,
        newVersion: ObjectVersion?,
        now: Instant,
    ) {
        val ownWrites = possibleWrites()
        value = newValue
        version = newVersion
        unchangedSince = now
        unconfirmedWrites = emptyList()
        consentsReceived.clear()
        val earliestWrite = ownWrites.minByOrNull { it.startedAt }
        lease =
            if (newValue?.holder == settings.host && earliestWrite != null &&
                isOwnSlot(newValue)
            ) {
                renewedLease(earliestWrite, newValue, now)
            } else {
                null
            }
    }

    private fun renewedLease(
        earliestWrite: SlotWrite,
        newValue: EntrySlot,
        now: Instant,
    ): SlotLease {
        val holdUntil =
            earliestWrite.startedAt + if (newValue.successors.isEmpty()) times.maximumHoldTerm else times.holdTerm
        val old = lease
        return SlotLease(
            countedFrom = old?.countedFrom ?: (now + earliestWrite.countingDelay),
            renewedAt = earliestWrite.startedAt,
            successors = newValue.successors,
            attemptedAt = old?.attemptedAt ?: earliestWrite.startedAt,
            validUntil = if (old == null) holdUntil else maxOf(old.validUntil, holdUntil),
            releaseAt = old?.releaseAt,
        )
    }

    private fun isOwnSlot(newValue: EntrySlot): Boolean =
        newValue.holder == settings.host && newValue.incarnation == settings.incarnation

    private fun possibleWrites(): List<SlotWrite> = unconfirmedWrites + listOfNotNull(pendingWrite)

    private companion object {
        /** Time between a failed write and the next attempt, unless the object is read in between. */
        val RETRY_PAUSE = 1.seconds
    }
}
