package tanagerlane.cli.experiment

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.WorkspaceName
import tanagerlane.queueing.AdmissionQueue
import tanagerlane.queueing.QueueDecision
import tanagerlane.queueing.QueueEntry
import tanagerlane.standin.engine.EngineRequest
import tanagerlane.standin.engine.EngineToken
import tanagerlane.standin.engine.SimulatedEngine
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Runs one scenario in virtual time against a simulated engine. */
internal class QueueingRun(
    private val scenario: QueueingScenario,
) {
    private val engine = SimulatedEngine(scenario.engine)
    private val queue = AdmissionQueue(scenario.queue)
    private val work = HashMap<RequestId, Request>()
    private val arrivals = ArrayDeque(scenario.online)
    private val end = BEGIN + scenario.length
    private var now = BEGIN
    private var nextTick = BEGIN
    private var stepEnd: Instant? = null
    private var stepTokens = emptyList<EngineToken>()
    private var batchCount = 0
    private val tally = QueueingTally()

    /** Runs the scenario to its end. */
    fun run(): QueueingOutcome {
        while (now < end) {
            refillBatch()
            beginStep()
            advance()
        }
        return tally.outcome(scenario.length)
    }

    private fun advance() {
        val arrival = arrivals.firstOrNull()?.let { BEGIN + it.at }
        now = listOfNotNull(arrival, stepEnd, nextTick).min()
        when (now) {
            stepEnd -> endStep()
            arrival -> offer(RequestClass.ONLINE, arrivals.removeFirst())
            else -> tick()
        }
    }

    private fun tick() {
        nextTick += TICK
        apply(queue.tick(now))
    }

    private fun refillBatch() {
        val next = scenario.batch ?: return
        val most = if (scenario.yielding) BATCH_AT_ONCE else scenario.engine.maximumSequences
        while (batchCount < most) {
            batchCount += 1
            offer(RequestClass.BATCH, next())
        }
    }

    private fun offer(
        requestClass: RequestClass,
        arrival: QueueingArrival,
    ) {
        val request = Request(RequestId("r${tally.offered++}"), requestClass, arrival, now)
        work[request.id] = request
        if (scenario.yielding) {
            apply(queue.offer(entryOf(request), now))
        } else {
            engine.submit(EngineRequest(request.id, arrival.prompt, arrival.tokens))
        }
    }

    private fun entryOf(request: Request) =
        QueueEntry(
            id = AttemptId(request.id, 1),
            workspace = request.arrival.workspace.takeIf { scenario.fair },
            requestClass = request.requestClass,
            promptTokens = request.arrival.prompt.size,
            maximumTokens = request.arrival.tokens,
            weight = 1,
            deadline = if (request.requestClass == RequestClass.BATCH) now + 1.days else now + scenario.onlineDeadline,
        )

    private fun apply(decisions: List<QueueDecision>) {
        decisions.forEach { decision ->
            when (decision) {
                is QueueDecision.Start -> start(decision)
                is QueueDecision.Preempt -> preempt(decision.id.request)
                is QueueDecision.Refuse -> refuse(decision.id.request)
            }
        }
    }

    private fun start(decision: QueueDecision.Start) {
        val arrival = work.getValue(decision.id.request).arrival
        engine.submit(EngineRequest(decision.id.request, arrival.prompt, arrival.tokens, decision.resumeTokens))
    }

    private fun preempt(id: RequestId) {
        tally.preemptions += 1
        engine.cancel(id)
        stepTokens = stepTokens.filter { it.id != id }
    }

    private fun refuse(id: RequestId) {
        tally.refused += 1
        work.remove(id)
    }

    private fun beginStep() {
        if (stepEnd == null) {
            engine.step()?.let {
                stepEnd = now + it.duration
                stepTokens = it.tokens
            }
        }
    }

    private fun endStep() {
        val tokens = stepTokens
        stepEnd = null
        stepTokens = emptyList()
        tokens.forEach(::deliver)
    }

    private fun deliver(token: EngineToken) {
        val request = work.getValue(token.id)
        tally.count(request.requestClass, request.arrival.workspace)
        if (request.requestClass == RequestClass.ONLINE && token.number == 0) {
            tally.firstToken(request.arrival.workspace, now - request.offered)
        }
        if (scenario.yielding) {
            report(token)
        }
        if (token.last) {
            work.remove(token.id)
            finish(request.requestClass)
        }
    }

    private fun finish(requestClass: RequestClass) {
        if (requestClass == RequestClass.BATCH) {
            tally.batchItems += 1
            batchCount -= 1
        }
    }

    private fun report(token: EngineToken) {
        val id = AttemptId(token.id, 1)
        if (token.number == 0) {
            apply(queue.firstToken(id, now))
        }
        apply(queue.progress(id, token.number + 1, now))
        if (token.last) {
            apply(queue.finished(id, now))
        }
    }

    private data class Request(
        val id: RequestId,
        val requestClass: RequestClass,
        val arrival: QueueingArrival,
        val offered: Instant,
    )

    private companion object {
        val BEGIN = Instant.fromEpochSeconds(0)
        val TICK = 50.milliseconds
        const val BATCH_AT_ONCE = 32
    }
}
