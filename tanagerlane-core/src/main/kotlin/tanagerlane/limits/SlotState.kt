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
    private val consentsReceived = HashMap<HostName, Instant>()
    private var promisedUntil = Instant.DISTANT_PAST
    private var consentedUntil = Instant.DISTANT_PAST

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

    /** Sets of entries that may together let the slot be taken over, one for each write that may have taken effect. */
    val possibleSuccessors: List<Set<HostName>>
        get() = (possibleWrites().map { it.value.successors } + listOfNotNull(lease?.successors)).map { it.toSet() }

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

    /** Starts a conditional write; one that names successors lets them take over later. */
    fun begin(
        newValue: EntrySlot,
        now: Instant,
        countedAfter: Duration = Duration.ZERO,
    ): SlotWrite {
        val write = SlotWrite(number, newValue, version, now, countedAfter)
        writing = write
        lease =
            lease?.let {
                val limit = if (newValue.successors.isEmpty()) it.validUntil else now + times.holdTerm
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

    /** Promises the holder to stand back until [until], unless another successor was let through. */
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

    /** Lets another successor take the slot over once the promises given here are over. */
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

    /** Other successors whose consent is missing for a takeover; null while this entry may not seek one. */
    fun missingConsents(now: Instant): Set<HostName>? {
        val successors = value?.successors.orEmpty().toSet()
        val isQuiet = now - unchangedSince >= times.takeoverTerm && now >= promisedUntil
        if (lease != null || settings.host !in successors || !isQuiet) {
            return null
        }
        return (successors - settings.host).filter { now >= (consentsReceived[it] ?: Instant.DISTANT_PAST) }.toSet()
    }

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
        val longest = current.renewedAt + times.longestHold
        val promised = possibleSuccessors.minOf { set -> if (set.isEmpty()) longest else set.maxOf(::promisedBy) }
        val allowed = maxOf(promised, current.renewedAt + times.holdTerm)
        lease = current.copy(validUntil = maxOf(current.validUntil, minOf(allowed, longest)))
    }

    private fun promisedBy(successor: HostName): Instant = promisesReceived[successor] ?: Instant.DISTANT_PAST

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
        consentsReceived.clear()
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
        val holdUntil = origin.startedAt + if (newValue.successors.isEmpty()) times.longestHold else times.holdTerm
        val old = lease
        return SlotLease(
            countedFrom = old?.countedFrom ?: (now + origin.countedAfter),
            renewedAt = origin.startedAt,
            successors = newValue.successors,
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
