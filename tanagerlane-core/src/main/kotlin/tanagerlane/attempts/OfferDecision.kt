package tanagerlane.attempts

import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.WireMessage

/** What a sidecar does with an offer. */
public sealed interface OfferDecision {
    /** Messages to send back on the connection by which the offer came, in order. */
    public val replies: List<WireMessage>

    /** The attempt is new: send [replies], then queue it and call [AttemptTable.start] before the target is called. */
    public data class Run(
        override val replies: List<WireMessage>,
    ) : OfferDecision

    /** The attempt is already known: send what it has so far; the rest follows as it comes. */
    public data class Joined(
        override val replies: List<WireMessage>,
    ) : OfferDecision

    /** The attempt did not run here and never will. */
    public data class Refused(
        val notRun: NotRun,
    ) : OfferDecision {
        override val replies: List<WireMessage> get() = listOf(notRun)
    }

    /** The offer was meant for another incarnation, of which this one knows nothing. */
    public data class WrongIncarnation(
        val neverSeen: NeverSeen,
    ) : OfferDecision {
        override val replies: List<WireMessage> get() = listOf(neverSeen)
    }

    /** Another request already has this identity; nothing is sent, lest the answer be taken for that request's. */
    public data object Conflict : OfferDecision {
        override val replies: List<WireMessage> get() = emptyList()
    }
}
