package tanagerlane.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import tanagerlane.message.RefusalCopied
import tanagerlane.message.RefusalCopy
import tanagerlane.message.RefusalMinute
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.WorkspaceName
import tanagerlane.refusals.RefusalCopies
import tanagerlane.refusals.RefusalFlush
import tanagerlane.refusals.RefusalLedger
import tanagerlane.refusals.RefusalPeer
import tanagerlane.runtime.StoredDocuments
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Records refusals on this host and on a peer before they are sent to callers, and writes them to the store by minute.
 *
 * @param peers other entries that may hold copies
 * @param send sends a message to another entry; it may be lost
 */
internal class RefusalRecorder(
    private val host: HostName,
    private val failureDomain: FailureDomain,
    private val ledger: RefusalLedger,
    private val store: ObjectStore,
    private val registry: MeterRegistry,
    private val peers: () -> List<RefusalPeer>,
    private val send: (HostName, WireMessage) -> Unit,
    private val now: () -> Instant,
) {
    private val copies = RefusalCopies()
    private val copyLock = Any()
    private var peer: HostName? = null
    private var copySentAt: Instant? = null
    private var knownEntries: Set<HostName> = emptySet()

    /** Records [refusal] of a request of [workspace]; returns once it may be sent to the caller. */
    suspend fun record(
        workspace: WorkspaceName?,
        refusal: CallerRefusal,
    ) {
        count(refusal)
        val ticket = ledger.record(workspace, refusal.reason, refusal.runState, now())
        copyToPeer()
        while (!ledger.mayRespond(ticket, now())) {
            delay(RESPONSE_CHECK_INTERVAL)
        }
    }

    /** Handles a message from the entry [from]; messages that do not concern refusals are ignored. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        when (message) {
            is RefusalCopy -> send(from, copies.accept(message))
            is RefusalCopied -> handleAcknowledgement(message)
            else -> Unit
        }
    }

    /** Updates the live entries; the copies of those that were lost or restarted are then stored by this host. */
    fun entriesChanged(live: Map<HostName, Incarnation>) {
        synchronized(copyLock) {
            (knownEntries - live.keys).forEach { copies.hostLost(it) }
            live.forEach { (host, incarnation) -> copies.hostLost(host, incarnation) }
            knownEntries = live.keys
        }
    }

    /** Copies refusals to the peer and stores those that are due; returns only by cancellation. */
    suspend fun storeLoop() {
        while (true) {
            copyToPeer()
            flush(includeCurrentMinute = false)
            flushCopies()
            delay(STORE_INTERVAL)
        }
    }

    /** Stores all refusals of this host, including those of the current minute. */
    suspend fun flushAll() {
        flush(includeCurrentMinute = true)
    }

    private fun count(refusal: CallerRefusal) {
        registry
            .counter(
                "tanagerlane.refusals",
                "reason",
                refusal.reason.name.lowercase(),
                "run",
                refusal.runState.name.lowercase(),
            ).increment()
    }

    private fun copyToPeer() {
        synchronized(copyLock) {
            val picked = RefusalPeer.pick(host, failureDomain, peers())?.host
            val sentAt = copySentAt
            val isTimedOut = sentAt != null && now() - sentAt > ACKNOWLEDGEMENT_TIMEOUT
            if (picked != peer || isTimedOut) {
                ledger.peerLost()
                peer = picked
                copySentAt = null
            }
            picked?.let { sendCopy(it) }
        }
    }

    private fun sendCopy(to: HostName) {
        val copy = ledger.nextCopy(now()) ?: return
        copySentAt = now()
        send(to, copy)
    }

    private fun handleAcknowledgement(message: RefusalCopied) {
        ledger.copied(message)
        synchronized(copyLock) { copySentAt = null }
        copyToPeer()
    }

    private suspend fun flush(includeCurrentMinute: Boolean) {
        while (true) {
            val flush = ledger.nextFlush(now(), includeCurrentMinute) ?: return
            val isWritten = write(flush, { ledger.flushed(it, now()) }, ledger::flushFailed)
            if (!isWritten) {
                return
            }
        }
    }

    private suspend fun flushCopies() {
        while (true) {
            val flush = copies.nextFlush() ?: return
            if (!write(flush, copies::flushed, copies::flushFailed)) {
                return
            }
        }
    }

    /** Writes [flush]; on failure, reads the stored object, so that the next write can merge it. */
    private suspend fun write(
        flush: RefusalFlush,
        onWritten: (ObjectVersion) -> Unit,
        onFailed: (RefusalMinute?, ObjectVersion?) -> Unit,
    ): Boolean {
        val value = StoredDocuments.encode(RefusalMinute.serializer(), flush.value)
        val outcome = store.put(flush.key, value, flush.expected)
        outcome
            .onOk { onWritten(it) }
            .onErr {
                val found = store.get(flush.key).get()
                val minute = found?.let { StoredDocuments.decode(RefusalMinute.serializer(), it.value).get() }
                onFailed(minute, found?.version)
            }
        return outcome.isOk
    }

    private companion object {
        val RESPONSE_CHECK_INTERVAL = 2.milliseconds
        val STORE_INTERVAL = 5.seconds
        val ACKNOWLEDGEMENT_TIMEOUT = 1.seconds
    }
}
