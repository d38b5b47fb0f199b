package tanagerlane.attempts

/** Number of a connection on this host; a connection that opens later has a higher one. */
@JvmInline
public value class SessionId(
    public val number: Long,
) : Comparable<SessionId> {
    override fun compareTo(other: SessionId): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}
