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
 * Records refusals on this host and on a peer before callers hear of them, and stores them by the minute.
 *
 * @param peers other entries that may keep copies
 * @param send passes a message to another entry; it may be lost
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
    private var known: Set<HostName> = emptySet()

    /** Records [refusal] of a request of [workspace]; returns once its caller may hear it. */
    suspend fun record(
        workspace: WorkspaceName?,
        refusal: CallerRefusal,
    ) {
        count(refusal)
        val ticket = ledger.record(workspace, refusal.reason, refusal.runState, now())
        copyNow()
        while (!ledger.mayRespond(ticket, now())) {
            delay(TELL_INTERVAL)
        }
    }

    /** Takes a message of another entry. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        when (message) {
            is RefusalCopy -> send(from, copies.accept(message))
            is RefusalCopied -> copied(message)
            else -> Unit
        }
    }

    /** Notes which entries are gone or have started anew, so that what they left here is stored from here. */
    fun entriesChanged(present: Map<HostName, Incarnation>) {
        synchronized(copyLock) {
            (known - present.keys).forEach { copies.hostLost(it) }
            present.forEach { (host, incarnation) -> copies.hostLost(host, incarnation) }
            known = present.keys
        }
    }

    /** Copies to the peer and stores what is due; returns only by cancellation. */
    suspend fun storeLoop() {
        while (true) {
            copyNow()
            flush(finish = false)
            flushCopies()
            delay(STORE_INTERVAL)
        }
    }

    /** Stores everything that there is. */
    suspend fun finish() {
        flush(finish = true)
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

    private fun copyNow() {
        synchronized(copyLock) {
            val chosen = RefusalPeer.pick(host, failureDomain, peers())?.host
            val sentAt = copySentAt
            val isLate = sentAt != null && now() - sentAt > COPY_PATIENCE
            if (chosen != peer || isLate) {
                ledger.peerLost()
                peer = chosen
                copySentAt = null
            }
            chosen?.let { sendCopy(it) }
        }
    }

    private fun sendCopy(to: HostName) {
        val copy = ledger.nextCopy(now()) ?: return
        copySentAt = now()
        send(to, copy)
    }

    private fun copied(message: RefusalCopied) {
        ledger.copied(message)
        synchronized(copyLock) { copySentAt = null }
        copyNow()
    }

    private suspend fun flush(finish: Boolean) {
        while (true) {
            val flush = ledger.nextFlush(now(), finish) ?: return
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

    /** Writes [flush]; where that fails, what stands there is read, so that the next write can merge it. */
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
        val TELL_INTERVAL = 2.milliseconds
        val STORE_INTERVAL = 5.seconds
        val COPY_PATIENCE = 1.seconds
    }
}
