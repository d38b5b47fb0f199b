package tanagerlane.sidecar

import java.io.IOException

/** The answer of a target exceeds a size limit, or one of its events exceeds the time limit. */
internal class AnswerLimitException(
    message: String,
) : IOException(message)
