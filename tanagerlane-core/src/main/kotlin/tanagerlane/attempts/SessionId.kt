package tanagerlane.attempts

/** Number of a connection, unique on this host; connections opened later have higher numbers. */
@JvmInline
public value class SessionId(
    public val number: Long,
) : Comparable<SessionId> {
    override fun compareTo(other: SessionId): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}
