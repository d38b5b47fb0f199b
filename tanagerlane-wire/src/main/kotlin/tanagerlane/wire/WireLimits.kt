package tanagerlane.wire

import tanagerlane.attempts.LivenessSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds that every connection keeps.
 *
 * @property maximumFrameBytes longest frame that is read
 * @property outgoingMessages messages that may wait to be written before a sender has to wait
 * @property liveness intervals of pings and the silence after which a connection is given up
 * @property connectTimeout time that making a connection and greeting may take
 */
public data class WireLimits(
    val maximumFrameBytes: Int = 4 shl 20,
    val outgoingMessages: Int = 256,
    val liveness: LivenessSettings = LivenessSettings(),
    val connectTimeout: Duration = 2.seconds,
)
