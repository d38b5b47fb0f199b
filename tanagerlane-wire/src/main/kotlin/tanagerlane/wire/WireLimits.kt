package tanagerlane.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds that every connection keeps.
 *
 * @property maximumFrameBytes longest frame that is read
 * @property outgoingMessages messages that may wait to be written before a sender has to wait
 * @property pingInterval time between pings on a connection
 * @property silence time without any message after which a connection is given up
 * @property connectTimeout time that making a connection and greeting may take
 */
public data class WireLimits(
    val maximumFrameBytes: Int = 4 shl 20,
    val outgoingMessages: Int = 256,
    val pingInterval: Duration = 1.seconds,
    val silence: Duration = 3.seconds,
    val connectTimeout: Duration = 2.seconds,
)
