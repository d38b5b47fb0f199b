package tanagerlane.sidecar.engine

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import tanagerlane.message.Header
import tanagerlane.message.Offer
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.sidecar.AnswerSink

/**
 * Runs one batch item, which may be stopped and resumed any number of times; its answer is sent at the end.
 *
 * An item that finds another version of the engine's software when it is resumed starts anew.
 */
internal class BatchRun(
    private val client: EngineClient,
    private val offer: Offer,
    private val body: ChatBody,
    private val queueHandle: QueueHandle,
) {
    private var transcript = ChatTranscript(body.maximumTokens)
    private var hasBegun = false
    private var hasStartedAnew = false

    suspend fun run(sink: AnswerSink) {
        while (true) {
            val signal = queueHandle.signals.receive()
            if (signal is QueueSignal.Refuse) {
                return sink.fail(if (hasBegun) RunState.UNKNOWN else RunState.NOT_RUN, signal.reason)
            }
            if (signal == QueueSignal.Start && (!begin(sink) || runOnce(sink))) {
                return
            }
        }
    }

    private suspend fun begin(sink: AnswerSink): Boolean {
        hasBegun = hasBegun || sink.begin()
        return hasBegun
    }

    /** Runs until the answer ends or the queue preempts the run; returns whether the last call of the sink was made. */
    private suspend fun runOnce(sink: AnswerSink): Boolean {
        var outcome = if (transcript.isComplete) Ok(Unit) else streamUntilPreempted()
        if (outcome?.getError() == EngineFailure.OtherVersion) {
            startAnew()
            outcome = streamUntilPreempted()
        }
        if (outcome == null && !transcript.isComplete) {
            return false
        }
        if (transcript.isComplete) sendAnswer(sink) else sendFailure(outcome, sink)
        return true
    }

    private suspend fun startAnew() {
        hasStartedAnew = true
        transcript = ChatTranscript(body.maximumTokens)
        client.cancel(offer.attempt.request)
    }

    /** Returns the result of the stream, or null if it was preempted. */
    private suspend fun streamUntilPreempted(): Result<Unit, EngineFailure>? =
        coroutineScope {
            transcript.beginRun()
            val stream = async { client.stream(offer.attempt.request, body.resumedAt(transcript.tokens), ::onEvent) }
            val result =
                select {
                    stream.onAwait { it }
                    queueHandle.signals.onReceive { null }
                }
            if (result == null) {
                client.cancel(offer.attempt.request)
                stream.cancelAndJoin()
            }
            result
        }

    private fun onEvent(event: String) {
        transcript.add(event)
        queueHandle.onProgress(transcript.tokens)
    }

    private suspend fun sendAnswer(sink: AnswerSink) {
        sink.head(OK, listOf(Header("content-type", "application/json")))
        sink.bytes(transcript.answer())
        sink.end()
    }

    private suspend fun sendFailure(
        outcome: Result<Unit, EngineFailure>?,
        sink: AnswerSink,
    ) {
        when (val failure = outcome?.getError() ?: EngineFailure.Broken) {
            EngineFailure.Unreachable -> {
                sink.fail(unreachableRunState(), RefusalReason.NO_TARGET)
            }

            EngineFailure.Broken, EngineFailure.OtherVersion -> {
                sink.fail(RunState.UNKNOWN, RefusalReason.TARGET_FAILED)
            }

            is EngineFailure.ErrorAnswer -> {
                sink.head(failure.status, listOf(Header("content-type", "application/json")))
                sink.bytes(failure.body)
                sink.end()
            }
        }
    }

    private fun unreachableRunState() =
        if (transcript.tokens == 0 && !hasStartedAnew) RunState.NOT_RUN else RunState.UNKNOWN

    private companion object {
        const val OK = 200
    }
}
