package tanagerlane.entry

import tanagerlane.model.RefusalReason

/** HTTP status code of a refusal for this reason. */
internal val RefusalReason.httpStatus: Int
    get() =
        when (this) {
            RefusalReason.MALFORMED -> 400

            RefusalReason.NO_KEY -> 401

            RefusalReason.FORBIDDEN -> 403

            RefusalReason.NOT_FOUND -> 404

            RefusalReason.CONFLICT -> 409

            RefusalReason.TOO_LARGE -> 413

            RefusalReason.RATE_LIMITED -> 429

            RefusalReason.INTERNAL -> 500

            RefusalReason.OUTCOME_UNKNOWN, RefusalReason.TARGET_FAILED -> 502

            RefusalReason.OVERLOADED,
            RefusalReason.NO_TARGET,
            RefusalReason.STORE_UNAVAILABLE,
            RefusalReason.CONFIGURATION_STALE,
            RefusalReason.NOT_RESUMABLE,
            RefusalReason.QUARANTINED,
            RefusalReason.SHUTTING_DOWN,
            -> 503

            RefusalReason.DEADLINE_EXCEEDED -> 504
        }
