package tanagerlane.sidecar

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/** The answer of one run, shared by the request that started it and its repeats. */
internal class SharedAnswer {
    private val parts = MutableStateFlow(emptyList<Part>())

    /** Whether the run has ended without a complete answer. */
    val hasFailed: Boolean get() = parts.value.lastOrNull() is Part.Failed

    /** Status and headers of the answer; null until they have been received. */
    val head: Part.Head? get() = parts.value.firstOrNull() as? Part.Head

    /** Body received so far. */
    val body: Payload
        get() {
            val pieces = parts.value.filterIsInstance<Part.Bytes>().map { it.bytes.toByteArray() }
            return Payload.of(pieces.fold(ByteArray(0)) { body, piece -> body + piece })
        }

    /** Returns a sink that records everything and forwards it to [sink]. */
    fun recording(sink: AnswerSink): AnswerSink =
        AnswerSink(
            begin = sink.begin,
            head = { status, headers ->
                add(Part.Head(status, headers))
                sink.head(status, headers)
            },
            bytes = {
                add(Part.Bytes(it))
                sink.bytes(it)
            },
            end = {
                add(Part.End)
                sink.end()
            },
            fail = { runState, reason ->
                add(Part.Failed(runState, reason))
                sink.fail(runState, reason)
            },
        )

    /** Records that the run was abandoned; does nothing if it has ended already. */
    fun abandon() {
        if (parts.value.lastOrNull()?.isLast != true) {
            add(Part.Failed(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN))
        }
    }

    /** Sends the answer to [sink] from its beginning, each part as soon as it is received. */
    suspend fun replayTo(sink: AnswerSink) {
        var sentCount = 0
        while (true) {
            val part = parts.first { it.size > sentCount }[sentCount]
            send(part, sink)
            sentCount += 1
            if (part.isLast) {
                return
            }
        }
    }

    private fun add(part: Part) {
        parts.value += part
    }

    private suspend fun send(
        part: Part,
        sink: AnswerSink,
    ) {
        when (part) {
            is Part.Head -> sink.head(part.status, part.headers)
            is Part.Bytes -> sink.bytes(part.bytes)
            is Part.End -> sink.end()
            is Part.Failed -> sink.fail(part.runState, part.reason)
        }
    }

    /** Part of an answer. */
    sealed interface Part {
        /** Whether no other part follows. */
        val isLast: Boolean get() = this is End || this is Failed

        data class Head(
            val status: Int,
            val headers: List<Header>,
        ) : Part

        data class Bytes(
            val bytes: Payload,
        ) : Part

        data object End : Part

        data class Failed(
            val runState: RunState,
            val reason: RefusalReason,
        ) : Part
    }
}
