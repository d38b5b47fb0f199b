package tanagerlane.sidecar.engine

import io.vertx.core.Vertx
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import tanagerlane.model.WorkspaceName
import tanagerlane.queueing.AdmissionQueue
import tanagerlane.queueing.QueueDecision
import tanagerlane.queueing.QueueEntry
import tanagerlane.queueing.QueueLoad
import tanagerlane.queueing.QueueSettings
import tanagerlane.sidecar.AnswerSink
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Runs all work of one target in the order that its queue decides.
 *
 * @param targetUrl base URL of the target
 * @param call calls the target for one attempt whose turn it is, after calling the sink's begin
 * @param weightOf weight of a workspace relative to others; null stands for routes that are open to all callers
 */
internal class TargetScheduler(
    vertx: Vertx,
    targetUrl: String,
    settings: QueueSettings,
    call: suspend (Offer, AnswerSink) -> Unit,
    private val weightOf: (WorkspaceName?) -> Int,
    private val now: () -> Instant,
) {
    private val client = EngineClient(vertx, targetUrl)
    private val onlineRun = OnlineRun(call)
    private val lock = Any()
    private val queue = AdmissionQueue(settings)
    private val signals = HashMap<AttemptId, Channel<QueueSignal>>()

    /** Current load of the queue. */
    val load: QueueLoad get() = synchronized(lock) { queue.load }

    /**
     * Runs the work of [offer] when its turn comes and reports to [sink]; cancellation dequeues and stops it.
     *
     * Batch work whose answer cannot be assembled from several runs continues when it is preempted.
     */
    suspend fun run(
        offer: Offer,
        sink: AnswerSink,
    ) {
        val queueHandle = submit(offer)
        try {
            val body = (offer.work as? ChatWork)?.takeIf { isBatch(offer) }?.let(ChatBody::of)
            if (body == null) {
                onlineRun.run(offer, sink, queueHandle)
            } else {
                BatchRun(client, offer, body, queueHandle).run(sink)
            }
        } finally {
            remove(offer.attempt)
        }
    }

    /** Applies [settings]. */
    fun configure(settings: QueueSettings): Unit = applyDecisions { queue.configure(settings, now()) }

    /** Refuses work that has not begun, except for online work that is already waiting. */
    fun drain(): Unit = applyDecisions { queue.drain(now()) }

    /** Regularly refuses entries past their deadline and starts those that fit; returns only by cancellation. */
    suspend fun tickLoop() {
        while (true) {
            delay(TICK_INTERVAL)
            applyDecisions { queue.tick(now()) }
        }
    }

    private fun submit(offer: Offer): QueueHandle {
        val channel = Channel<QueueSignal>(Channel.UNLIMITED)
        val entry = entryOf(offer)
        applyDecisions {
            check(signals.putIfAbsent(entry.id, channel) == null) { "attempt is already in the queue: ${entry.id}" }
            queue.offer(entry, now())
        }
        return QueueHandle(
            signals = channel,
            onFirstToken = { applyDecisions { queue.firstToken(entry.id, now()) } },
            onProgress = { applyDecisions { queue.progress(entry.id, it, now()) } },
        )
    }

    private fun entryOf(offer: Offer): QueueEntry {
        val work = offer.work as? ChatWork
        return QueueEntry(
            id = offer.attempt,
            workspace = offer.workspace,
            requestClass = offer.requestClass,
            promptTokens = work?.let { it.body.size / BYTES_PER_TOKEN } ?: SERVICE_CALL_TOKENS,
            maximumTokens = work?.let { ChatBody.of(it)?.maximumTokens ?: it.maximumTokens } ?: 0,
            weight = weightOf(offer.workspace),
            deadline = now() + offer.remaining,
        )
    }

    private fun remove(id: AttemptId) {
        applyDecisions {
            signals.remove(id)
            queue.cancel(id, now())
        }
    }

    private fun applyDecisions(action: () -> List<QueueDecision>) {
        synchronized(lock) { action().forEach(::signal) }
    }

    private fun signal(decision: QueueDecision) {
        when (decision) {
            is QueueDecision.Start -> signals[decision.id]?.trySend(QueueSignal.Start)
            is QueueDecision.Preempt -> signals[decision.id]?.trySend(QueueSignal.Preempt)
            is QueueDecision.Refuse -> signals[decision.id]?.trySend(QueueSignal.Refuse(decision.reason))
        }
    }

    private fun isBatch(offer: Offer) = offer.requestClass == RequestClass.BATCH

    private companion object {
        const val BYTES_PER_TOKEN = 4

        /** Tokens charged for a call to a service that is not a model. */
        const val SERVICE_CALL_TOKENS = 1
        val TICK_INTERVAL = 50.milliseconds
    }
}
