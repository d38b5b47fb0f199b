package tanagerlane.attempts

import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.WireMessage

/** Decision of a sidecar on an offer. */
public sealed interface OfferDecision {
    /** Messages to send, in order, on the connection that carried the offer. */
    public val replies: List<WireMessage>

    /** The attempt is new: send [replies], then queue it and call [AttemptTable.start] before calling the target. */
    public data class Run(
        override val replies: List<WireMessage>,
    ) : OfferDecision

    /** The attempt is already known: send its messages so far; later ones are delivered as they are produced. */
    public data class Joined(
        override val replies: List<WireMessage>,
    ) : OfferDecision

    /** The attempt did not run here and never will. */
    public data class Refused(
        val notRun: NotRun,
    ) : OfferDecision {
        override val replies: List<WireMessage> get() = listOf(notRun)
    }

    /** The offer was meant for another incarnation, whose attempts this one does not know. */
    public data class WrongIncarnation(
        val neverSeen: NeverSeen,
    ) : OfferDecision {
        override val replies: List<WireMessage> get() = listOf(neverSeen)
    }

    /** Another request already has this identity; nothing is sent, as a reply would be attributed to that request. */
    public data object Conflict : OfferDecision {
        override val replies: List<WireMessage> get() = emptyList()
    }
}
