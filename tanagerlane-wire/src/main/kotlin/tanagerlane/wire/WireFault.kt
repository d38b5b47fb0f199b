package tanagerlane.wire

import tanagerlane.model.HostName

/** Why a connection could not be made or had to be ended. */
public sealed interface WireFault {
    /** No connection could be made. */
    public data class Unreachable(
        val address: WireAddress,
        val cause: String,
    ) : WireFault

    /** The connection ended. */
    public data object Closed : WireFault

    /** Nothing came for longer than the bound. */
    public data object Silent : WireFault

    /** A frame was longer than [maximumBytes], or its length was negative. */
    public data class FrameLength(
        val length: Int,
        val maximumBytes: Int,
    ) : WireFault

    /** A frame did not hold a message of this protocol. */
    public data class Undecodable(
        val cause: String,
    ) : WireFault

    /** The other side speaks another version of the protocol. */
    public data class VersionMismatch(
        val own: Int,
        val other: Int,
    ) : WireFault

    /** The first message was not a greeting, or named another host than [expected]. */
    public data class UnexpectedPeer(
        val expected: HostName?,
    ) : WireFault
}
