package tanagerlane.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.concurrency.receiveWithin
import tanagerlane.message.CrashReport
import tanagerlane.model.PromptPart
import tanagerlane.places.DirectTarget
import tanagerlane.quarantine.LossStage
import tanagerlane.quarantine.PromptQuarantine
import tanagerlane.quarantine.QuarantinedPart
import tanagerlane.quarantine.RequestTraits
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Keeps requests whose prompts crash targets from targets, by what this process and the others observe. */
internal class PromptGuard(
    private val quarantine: PromptQuarantine,
    private val fleet: Fleet,
    private val client: TargetClient,
    private val scope: CoroutineScope,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private var knownParts: Map<PromptPart, QuarantinedPart> = emptyMap()

    /** Returns the part because of which a request with the shared [parts] must not reach a target, or null. */
    fun findQuarantined(parts: List<PromptPart>): QuarantinedPart? = quarantine.findQuarantined(parts, now())

    /** Records that a target has written an event of an answer to a request with the shared [parts]. */
    fun answered(parts: List<PromptPart>): Unit = quarantine.answered(parts, now())

    /**
     * Records that the connection of a request with the shared [parts] ended at [target] before its first event.
     *
     * It tells something about the request only if the target has crashed, and so refuses connections.
     *
     * @param hasBegun whether the target had begun to answer the request
     */
    fun lost(
        target: DirectTarget,
        requestId: String,
        parts: List<PromptPart>,
        hasBegun: Boolean,
    ) {
        if (parts.isEmpty()) {
            return
        }
        val lostAt = now()
        scope.launch {
            val hasCrashed = client.isRefusing(target)
            logger.info(
                "request lost before its first event request={} target={} has_begun={} target_crashed={} parts={}",
                requestId,
                target.name,
                hasBegun,
                hasCrashed,
                parts.joinToString(",") { it.text },
            )
            if (hasCrashed) {
                val stage = if (hasBegun) LossStage.BEGUN else LossStage.WAITING
                quarantine.lost(target.name, RequestTraits(parts, request = null), stage, lostAt, lostAt)
                metrics.crashEvidence.increment()
                changes.trySend(Unit)
            }
        }
    }

    /** Merges a [report] of another process. */
    fun received(report: CrashReport) {
        quarantine.received(report, now())
        logChanges()
    }

    /** Reports to the other processes what this one knows, until cancelled. */
    suspend fun run() {
        while (true) {
            changes.receiveWithin(REPORT_INTERVAL)
            if (!quarantine.isEmpty) {
                quarantine.reports(fleet.reachable, now()).forEach(fleet::broadcast)
            }
            logChanges()
        }
    }

    private fun logChanges() {
        val parts = quarantine.parts.associateBy { it.part }
        for (part in parts.values) {
            if (part.crashes != knownParts[part.part]?.crashes) {
                logger.warn(
                    "prompt part quarantined part={} crashes={} remaining={}",
                    part.part,
                    part.crashes,
                    part.until - now(),
                )
            }
        }
        for (part in knownParts.keys - parts.keys) {
            logger.info("prompt part released part={}", part)
        }
        knownParts = parts
        metrics.quarantinedParts.set(parts.size)
    }

    private companion object {
        val REPORT_INTERVAL = 100.milliseconds
        val logger = LoggerFactory.getLogger(PromptGuard::class.java)
    }
}
