package tanagerlane.entry

import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason

/**
 * Writes the response to one request; exactly one of [complete], [refuse] and [abort] is called, as the last call.
 *
 * @property abort ends a response that was sent in part
 */
internal data class CallerSink(
    val head: suspend (status: Int, headers: List<Header>) -> Unit,
    val bytes: suspend (Payload) -> Unit,
    val complete: suspend () -> Unit,
    val refuse: suspend (CallerRefusal) -> Unit,
    val abort: suspend (RefusalReason) -> Unit,
)
