package tanagerlane.cli.caller

import tanagerlane.caller.ErrorDetail
import tanagerlane.model.RunState

/** Why a call to an entry gave no answer that can be used. */
internal sealed interface EntryFailure {
    /** The entry refused the call. */
    data class Refused(
        val detail: ErrorDetail,
    ) : EntryFailure

    /** No connection to the entry was made, so nothing happened. */
    data class Unreachable(
        val cause: String,
    ) : EntryFailure

    /** The connection ended before the answer; the call may have taken effect. */
    data class AnswerLost(
        val cause: String,
    ) : EntryFailure

    /** What answered does not speak as an entry does. */
    data class UnexpectedAnswer(
        val status: Int,
    ) : EntryFailure
}

/** Says in one line what went wrong and, where it helps, what to do. */
internal fun explanationOf(failure: EntryFailure): String =
    when (failure) {
        is EntryFailure.Refused -> "tanagerlane: ${refusalOf(failure.detail)}"
        is EntryFailure.Unreachable -> "tanagerlane: the entry can't be reached (${failure.cause})"
        is EntryFailure.AnswerLost -> "tanagerlane: the answer was lost (${failure.cause}); the call may be repeated"
        is EntryFailure.UnexpectedAnswer -> "tanagerlane: not the answer of an entry, with status ${failure.status}"
    }

private fun refusalOf(detail: ErrorDetail): String {
    val run =
        when (detail.run) {
            RunState.NOT_RUN -> "not run"
            RunState.UNKNOWN -> "may have run"
        }
    return "refused as ${detail.type.name.lowercase()}, $run: ${detail.message.lines().joinToString(" ")}"
}
