package tanagerlane.sidecar.engine

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.sidecar.AnswerSink

/** Records the calls of its [sink]. */
internal class RecordedAnswer(
    private val mayBegin: Boolean = true,
) {
    var status: Int? = null
    var text = ""
    var endCount = 0
    var failure: Failure? = null

    val sink =
        AnswerSink(
            begin = { mayBegin },
            head = { code, _ -> status = code },
            bytes = { text += it.toText() },
            end = { endCount += 1 },
            fail = { runState, reason -> failure = Failure(runState, reason) },
        )

    data class Failure(
        val runState: RunState,
        val reason: RefusalReason,
    )
}
