package tanagerlane.direct

/**
 * Names of the headers used between callers, this process and targets.
 *
 * @property requestId id of one client attempt; targets repeat it in their answers
 * @property deadline time for which the sender waits for the answer, in milliseconds
 * @property key API key presented by a caller; never forwarded
 * @property workspace workspace of the caller, sent to targets
 * @property expectedTarget incarnation of the target for which a request is intended
 * @property notRun present in a target's answer if the request has not run
 * @property resumeAfter number of the last stream event that the receiver has
 * @property resumedAttempt id of the client attempt that brought the first event of the stream which a request resumes
 * @property wait maximum time for which a read of results may wait, in milliseconds
 * @property promptParts parts of the prompt of a request
 */
public data class HeaderNames(
    val requestId: String,
    val deadline: String,
    val key: String,
    val workspace: String,
    val expectedTarget: String,
    val notRun: String,
    val resumeAfter: String,
    val resumedAttempt: String,
    val wait: String,
    val promptParts: String,
)
