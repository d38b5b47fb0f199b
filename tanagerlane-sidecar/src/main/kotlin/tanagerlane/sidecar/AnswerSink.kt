package tanagerlane.sidecar

import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/**
 * Where the answer of one attempt goes.
 *
 * Either [end] or [fail] is called last, once.
 *
 * @property begin asks whether the target may be called; when it returns false nothing else may be called
 */
public data class AnswerSink(
    val begin: suspend () -> Boolean,
    val head: suspend (status: Int, headers: List<Header>) -> Unit,
    val bytes: suspend (Payload) -> Unit,
    val end: suspend () -> Unit,
    val fail: suspend (RunState, RefusalReason) -> Unit,
)
