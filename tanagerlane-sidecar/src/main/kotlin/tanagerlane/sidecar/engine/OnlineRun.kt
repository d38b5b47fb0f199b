package tanagerlane.sidecar.engine

import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.Payload
import tanagerlane.model.RunState
import tanagerlane.sidecar.AnswerSink

/** Runs work that is never preempted once it has begun, and forwards the target's bytes unchanged. */
internal class OnlineRun(
    private val call: suspend (Offer, AnswerSink) -> Unit,
) {
    suspend fun run(
        offer: Offer,
        sink: AnswerSink,
        queueHandle: QueueHandle,
    ) {
        when (val signal = queueHandle.signals.receive()) {
            is QueueSignal.Refuse -> sink.fail(RunState.NOT_RUN, signal.reason)
            QueueSignal.Start -> call(offer, countingSink(offer, sink, queueHandle))
            QueueSignal.Preempt -> error("online entry was preempted: ${offer.attempt}")
        }
    }

    private fun countingSink(
        offer: Offer,
        sink: AnswerSink,
        queueHandle: QueueHandle,
    ): AnswerSink {
        val work = offer.work
        if (work !is ChatWork || !work.streamed) {
            return sink
        }
        val counter = EventCounter(queueHandle)
        return sink.copy(
            bytes = {
                counter.accept(it)
                sink.bytes(it)
            },
            end = {
                counter.end()
                sink.end()
            },
        )
    }

    private class EventCounter(
        private val queueHandle: QueueHandle,
    ) {
        private val parser = EventParser()
        private var events = 0

        fun accept(bytes: Payload) {
            if (events == 0) {
                queueHandle.onFirstToken()
            }
            events += maxOf(parser.accept(bytes.toByteArray()).size, if (events == 0) 1 else 0)
        }

        fun end() = queueHandle.onProgress(events)
    }
}
