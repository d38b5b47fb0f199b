package tanagerlane.limits

/** Messages to send and decisions on pending admissions that result from a received message or a tick. */
public data class LimiterOutput(
    val outgoing: List<OutgoingMessage>,
    val decisions: List<Decision>,
)
