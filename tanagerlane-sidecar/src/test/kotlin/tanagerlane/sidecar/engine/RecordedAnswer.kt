package tanagerlane.sidecar.engine

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.sidecar.AnswerSink

internal class RecordedAnswer(
    private val begins: Boolean = true,
) {
    var status: Int? = null
    var text = ""
    var ended = 0
    var failure: Failure? = null

    val sink =
        AnswerSink(
            begin = { begins },
            head = { code, _ -> status = code },
            bytes = { text += it.toText() },
            end = { ended += 1 },
            fail = { runState, reason -> failure = Failure(runState, reason) },
        )

    data class Failure(
        val runState: RunState,
        val reason: RefusalReason,
    )
}
