package tanagerlane.entry

import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason

/**
 * Where the answer to one request goes; one of [complete], [refuse] and [abort] is called last, once.
 *
 * @property abort ends an answer of which the caller has a part already
 */
internal data class CallerSink(
    val head: suspend (status: Int, headers: List<Header>) -> Unit,
    val bytes: suspend (Payload) -> Unit,
    val complete: suspend () -> Unit,
    val refuse: suspend (CallerRefusal) -> Unit,
    val abort: suspend (RefusalReason) -> Unit,
)
