package tanagerlane.sidecar

import java.io.IOException

/** A target sent more than an answer may have. */
internal class AnswerLimitException(
    message: String,
) : IOException(message)
