package tanagerlane.sidecar

import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/**
 * Receives the answer of one attempt.
 *
 * The last call is either [end] or [fail], exactly once.
 *
 * @property begin returns whether the target may be called; if it returns false, no other function may be called
 */
public data class AnswerSink(
    val begin: suspend () -> Boolean,
    val head: suspend (status: Int, headers: List<Header>) -> Unit,
    val bytes: suspend (Payload) -> Unit,
    val end: suspend () -> Unit,
    val fail: suspend (RunState, RefusalReason) -> Unit,
)
