package tanagerlane.entry

import tanagerlane.jobs.JobError
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/** Refusal that reports [error] to the caller. */
internal fun jobRefusalOf(error: JobError): CallerRefusal =
    when (error) {
        is JobError.NotFound -> {
            refusal(RefusalReason.NOT_FOUND, "There is no job ${error.job}.")
        }

        is JobError.Expired -> {
            refusal(RefusalReason.NOT_FOUND, "The results have expired and were deleted.")
        }

        is JobError.InvalidName -> {
            refusal(RefusalReason.MALFORMED, "The name ${error.name} is empty or too long.")
        }

        is JobError.ContentConflict -> {
            refusal(RefusalReason.CONFLICT, "The job ${error.job} already exists with different items.")
        }

        is JobError.Empty -> {
            refusal(RefusalReason.MALFORMED, "The job has no items.")
        }

        is JobError.InvalidItem -> {
            refusal(RefusalReason.MALFORMED, "The item in line ${error.line + 1} is invalid: ${error.fault}.")
        }

        is JobError.DuplicateCustomId -> {
            refusal(RefusalReason.MALFORMED, "Line ${error.line + 1} repeats the custom_id ${error.customId}.")
        }

        is JobError.TooManyItems -> {
            refusal(RefusalReason.TOO_LARGE, "The job has more than ${error.maximumItems} items.")
        }

        is JobError.TooManyModels -> {
            refusal(RefusalReason.TOO_LARGE, "The items use more than ${error.maximumModels} models.")
        }

        is JobError.AlreadyEnded -> {
            refusal(RefusalReason.CONFLICT, "The job has already ended: ${error.phase.name.lowercase()}.")
        }

        is JobError.StoreUnavailable -> {
            refusal(RefusalReason.STORE_UNAVAILABLE, RefusalReason.STORE_UNAVAILABLE.explanation)
        }

        is JobError.Unsettled -> {
            CallerRefusal(
                RefusalReason.STORE_UNAVAILABLE,
                RunState.UNKNOWN,
                "The call may have taken effect; sending it again is safe and completes it.",
            )
        }

        is JobError.Unreadable -> {
            refusal(RefusalReason.STORE_UNAVAILABLE, "The stored object ${error.key} cannot be read.")
        }
    }

private fun refusal(
    reason: RefusalReason,
    explanation: String,
): CallerRefusal = CallerRefusal(reason, RunState.NOT_RUN, explanation)
