package tanagerlane.direct

/** An object that can't be read. */
public data class UnreadableObject(
    val name: String,
    val reason: String,
)
