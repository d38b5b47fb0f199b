package tanagerlane.direct

import io.vertx.core.MultiMap
import tanagerlane.runtime.AnswerPieces

/**
 * The answer of a target, whose body is still on its way.
 *
 * @property hasLength whether the end of the body can be told from the end of the connection
 * @property pieces body; closed with a cause where it breaks off
 */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val hasLength: Boolean,
    val pieces: AnswerPieces,
    private val release: () -> Unit,
) {
    /** Whether the target says that it has not run the request. */
    fun isNotRun(names: HeaderNames): Boolean = isMisdirected || headers.contains(names.notRun)

    /** Whether the request reached another target than the one it was meant for. */
    val isMisdirected: Boolean get() = status == MISDIRECTED

    /** Ends the call; the target stops its work where the answer is not whole yet. */
    fun close(): Unit = release()

    private companion object {
        const val MISDIRECTED = 421
    }
}
