package tanagerlane.entry

import tanagerlane.model.RefusalReason

/** Sentence that explains the reason to callers. */
internal val RefusalReason.explanation: String
    get() =
        when (this) {
            RefusalReason.MALFORMED -> "The request could not be understood."
            RefusalReason.TOO_LARGE -> "The body exceeds the size limit."
            RefusalReason.NO_KEY -> "No valid key came with the request."
            RefusalReason.FORBIDDEN -> "The object belongs to another workspace."
            RefusalReason.NOT_FOUND -> "There is no such model, service, route or job."
            RefusalReason.CONFLICT -> "The same name was used before with different content."
            RefusalReason.RATE_LIMITED -> "The workspace exceeds its rate and burst."
            RefusalReason.OVERLOADED -> "No target had capacity before the deadline."
            RefusalReason.DEADLINE_EXCEEDED -> "The deadline passed before the request ran."
            RefusalReason.NO_TARGET -> "No target that serves the request could be reached."
            RefusalReason.STORE_UNAVAILABLE -> "The platform's store could not be reached."
            RefusalReason.CONFIGURATION_STALE -> "The host cannot tell whether its configuration is current."
            RefusalReason.QUARANTINED -> "Targets crashed when they began to answer such prompts."
            RefusalReason.NOT_RESUMABLE -> "No target may continue the stream."
            RefusalReason.SHUTTING_DOWN -> "The host is stopping."
            RefusalReason.OUTCOME_UNKNOWN -> "The target was lost while the request may have been running."
            RefusalReason.TARGET_FAILED -> "The target failed while the request may have been running."
            RefusalReason.INTERNAL -> "The host failed while handling the request."
        }
