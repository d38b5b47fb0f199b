package tanagerlane.direct

/**
 * An object that cannot be decoded.
 *
 * @property name name of the object
 * @property reason why it cannot be decoded
 */
public data class UnreadableObject(
    val name: String,
    val reason: String,
)
