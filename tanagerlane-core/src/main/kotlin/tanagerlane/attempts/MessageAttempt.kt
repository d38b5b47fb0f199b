package tanagerlane.attempts

import tanagerlane.message.Accepted
import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.message.AttemptFailed
import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId

/** The attempt that a message from a sidecar refers to, or null for messages of other types. */
public fun WireMessage.attemptOrNull(): AttemptId? =
    when (this) {
        is Accepted -> attempt
        is NotRun -> attempt
        is AnswerHead -> attempt
        is AnswerFragment -> attempt
        is AnswerEnd -> attempt
        is AttemptFailed -> attempt
        is NeverSeen -> attempt
        else -> null
    }
