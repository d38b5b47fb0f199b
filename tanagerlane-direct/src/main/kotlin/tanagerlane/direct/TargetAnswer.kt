package tanagerlane.direct

import io.vertx.core.MultiMap
import tanagerlane.runtime.AnswerPieces

/**
 * The answer of a target, whose body may still be arriving.
 *
 * @property hasLength whether the end of the body can be distinguished from a loss of the connection
 * @property pieces pieces of the body; closed with a cause if the body breaks off
 */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val hasLength: Boolean,
    val pieces: AnswerPieces,
    private val release: () -> Unit,
) {
    /** Whether the target states that it has not run the request. */
    fun isNotRun(names: HeaderNames): Boolean = isMisdirected || headers.contains(names.notRun)

    /** Whether the request reached a target other than the intended one. */
    val isMisdirected: Boolean get() = status == MISDIRECTED_REQUEST

    /** Ends the call; if the answer is incomplete, the target stops working on the request. */
    fun close(): Unit = release()

    private companion object {
        const val MISDIRECTED_REQUEST = 421
    }
}
