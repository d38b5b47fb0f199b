package tanagerlane.limits

/** What follows from a message or from the passing of time. */
public data class Reaction(
    val outgoing: List<Outgoing>,
    val decisions: List<Decision>,
)
