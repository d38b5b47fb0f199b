package tanagerlane.sidecar

import java.io.IOException

/** A target sent more than an answer may have. */
internal class EndlessAnswerException(
    message: String,
) : IOException(message)
