package tanagerlane.direct

/**
 * Names of the headers that callers and targets understand.
 *
 * @property requestId identity of one client attempt; targets repeat it in their answers
 * @property deadline milliseconds for which the sender waits
 * @property key key that a caller presents; never passed on
 * @property workspace workspace that a target is told
 * @property expectedTarget incarnation of the target that a request is meant for
 * @property notRun present in a target's answer that tells that the request has not run
 * @property resumeAfter number of the last event that the receiver of a stream has
 * @property wait milliseconds for which a read of results may be kept waiting
 */
public data class HeaderNames(
    val requestId: String,
    val deadline: String,
    val key: String,
    val workspace: String,
    val expectedTarget: String,
    val notRun: String,
    val resumeAfter: String,
    val wait: String,
)
