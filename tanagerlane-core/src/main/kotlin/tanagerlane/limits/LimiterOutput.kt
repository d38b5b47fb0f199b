package tanagerlane.limits

/** What follows from a message or from the passing of time. */
public data class LimiterOutput(
    val outgoing: List<OutgoingMessage>,
    val decisions: List<Decision>,
)
