package tanagerlane.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.concurrency.receiveWithin
import tanagerlane.message.CrashReport
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.places.DirectTarget
import tanagerlane.quarantine.LossStage
import tanagerlane.quarantine.PromptQuarantine
import tanagerlane.quarantine.QuarantinedPart
import tanagerlane.quarantine.QuarantinedRequest
import tanagerlane.quarantine.RequestTraits
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Keeps requests that crash targets from targets, by what this process and the others observe. */
internal class PromptGuard(
    private val quarantine: PromptQuarantine,
    private val fleet: Fleet,
    client: TargetClient,
    private val scope: CoroutineScope,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private val checks = CrashChecks(client, scope)
    private var knownParts: Map<PromptPart, QuarantinedPart> = emptyMap()
    private var knownRequests: Map<RequestDigest, QuarantinedRequest> = emptyMap()

    init {
        fleet.onPeerHeard = { host ->
            if (!quarantine.isEmpty) {
                quarantine.reportsFor(host, fleet.reachable, now()).forEach { fleet.send(listOf(host), it) }
            }
        }
    }

    /** Returns the part because of which a request with the shared [parts] must not reach a target, or null. */
    fun findQuarantined(parts: List<PromptPart>): QuarantinedPart? = quarantine.findQuarantined(parts, now())

    /** Returns the time until which [request] must not reach a target, or null. */
    fun quarantinedUntil(request: OnlineRequest): Instant? {
        val untilOfPart = findQuarantined(request.sharedParts)?.until
        val untilOfRequest =
            if (quarantine.hasRequestEvidence) quarantine.findQuarantined(request.identify(), now())?.until else null
        return listOfNotNull(untilOfPart, untilOfRequest).maxOrNull()
    }

    /** Whether so many targets have crashed while they ran [request] that it should not be sent to another one. */
    fun isSuspected(request: OnlineRequest): Boolean =
        quarantine.hasRequestEvidence && quarantine.isSuspected(request.identify())

    /** Records that a target has written an event of an answer to a request with the shared [parts]. */
    fun answered(parts: List<PromptPart>): Unit = quarantine.answered(parts, now())

    /** Records that the answer to [request] was received whole. */
    fun completed(request: OnlineRequest) {
        if (request.digest != null || quarantine.hasRequestEvidence) {
            quarantine.completed(request.identify(), now())
        }
    }

    /**
     * Records that the connection of a caller's [request], which was sent at [sentAt], ended at [target].
     *
     * It tells something about the request only if the target has crashed, and so refuses connections. Once events were
     * written, the parts of the prompt are not at fault.
     */
    fun lost(
        target: DirectTarget,
        request: OnlineRequest,
        stage: LossStage,
        sentAt: Instant,
    ) {
        val parts = if (stage == LossStage.STREAMING) emptyList() else request.sharedParts
        lost(target, request.id, RequestTraits(parts, request.identify()), stage, sentAt)
    }

    /**
     * Records that the connection of an item of a job with the shared [parts] ended at [target] before its first event.
     *
     * @param hasBegun whether the target had begun to answer the item
     */
    fun lost(
        target: DirectTarget,
        itemId: String,
        parts: List<PromptPart>,
        hasBegun: Boolean,
    ) {
        if (parts.isNotEmpty()) {
            val stage = if (hasBegun) LossStage.BEGUN else LossStage.WAITING
            lost(target, itemId, RequestTraits(parts, request = null), stage, sentAt = now())
        }
    }

    private fun lost(
        target: DirectTarget,
        id: String,
        traits: RequestTraits,
        stage: LossStage,
        sentAt: Instant,
    ) {
        val lostAt = now()
        val check = checks.check(target, lostAt)
        scope.launch {
            val hasCrashed = check.await()
            logger.info(
                "request lost request={} digest={} stage={} target={} target_crashed={} parts={}",
                id,
                traits.request,
                stage,
                target.name,
                hasCrashed,
                traits.parts.joinToString(",") { it.text },
            )
            if (hasCrashed) {
                quarantine.lost(target.name, traits, stage, sentAt, lostAt)
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
        logParts()
        logRequests()
    }

    private fun logParts() {
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

    private fun logRequests() {
        val requests = quarantine.requests.associateBy { it.request }
        for (request in requests.values) {
            if (request.crashes != knownRequests[request.request]?.crashes) {
                logger.warn(
                    "request quarantined digest={} crashes={} remaining={}",
                    request.request,
                    request.crashes,
                    request.until - now(),
                )
            }
        }
        for (request in knownRequests.keys - requests.keys) {
            logger.info("request released digest={}", request)
        }
        knownRequests = requests
        metrics.quarantinedRequests.set(requests.size)
    }

    private companion object {
        val REPORT_INTERVAL = 100.milliseconds
        val logger = LoggerFactory.getLogger(PromptGuard::class.java)
    }
}
