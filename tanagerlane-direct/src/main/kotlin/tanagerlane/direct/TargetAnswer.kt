package tanagerlane.direct

import io.vertx.core.MultiMap
import tanagerlane.runtime.AnswerPieces
import tanagerlane.streams.AnswerBudget
import kotlin.time.Duration

/**
 * The answer of a target, whose body may still be arriving.
 *
 * @property pieces pieces of the body; closed with a cause if the body breaks off. A body without a length or chunks ends
 *   with its connection, and breaks off if the connection is reset
 * @param share what this process holds of the answer, counted as its pieces arrive
 * @param age returns the time since the request was sent
 */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val pieces: AnswerPieces,
    private val share: AnswerBudget.Share,
    private val age: () -> Duration,
    private val release: () -> Unit,
) {
    /** Time since the request was sent. */
    val timeSinceSent: Duration get() = age()

    /** Whether the target states that it has not run the request. */
    fun isNotRun(names: HeaderNames): Boolean = isMisdirected || headers.contains(names.notRun)

    /** Whether the request reached a target other than the intended one. */
    val isMisdirected: Boolean get() = status == MISDIRECTED_REQUEST

    /** Records that [bytes] of the received pieces are no longer held. */
    fun forget(bytes: Int): Unit = share.add(-bytes.toLong())

    /** Ends the call; if the answer is incomplete, the target stops working on the request. */
    fun close() {
        share.close()
        release()
    }

    private companion object {
        const val MISDIRECTED_REQUEST = 421
    }
}
