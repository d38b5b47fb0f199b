package tanagerlane.cli.operator

import tanagerlane.runtime.configuration.ConfigurationFailure
import tanagerlane.store.StoreFailure

/** Says in one line what went wrong and, where it helps, what to do. */
internal fun explanationOf(failure: ConfigurationFailure): String = "tanagerlane: ${reasonOf(failure)}"

private fun reasonOf(failure: ConfigurationFailure): String =
    when (failure) {
        is ConfigurationFailure.NoConfiguration -> {
            "no inventory has been applied yet"
        }

        is ConfigurationFailure.StaleBase -> {
            "the inventory was changed at revision ${failure.changed}, after ${failure.base}; run inventory diff again"
        }

        is ConfigurationFailure.UnknownWorkspace -> {
            "no workspace is named ${failure.workspace}"
        }

        is ConfigurationFailure.DuplicateLabel -> {
            "workspace ${failure.workspace} already has a key ${failure.label}"
        }

        is ConfigurationFailure.UnknownKey -> {
            "workspace ${failure.workspace} has no key ${failure.label}"
        }

        is ConfigurationFailure.Unreadable -> {
            "the stored configuration can't be read: ${failure.fault}"
        }

        is ConfigurationFailure.NotRead -> {
            reasonOf(failure.failure)
        }

        is ConfigurationFailure.NotMade -> {
            "nothing was changed: ${reasonOf(failure.failure)}"
        }

        is ConfigurationFailure.OutcomeUnknown -> {
            "the change may or may not have been made: ${reasonOf(failure.failure)}"
        }

        is ConfigurationFailure.NotConfirmed -> {
            "revision ${failure.revision} was written but not confirmed by ${failure.silent.joinToString()}"
        }
    }

internal fun reasonOf(failure: StoreFailure): String =
    when (failure) {
        is StoreFailure.NotFound -> "${failure.key} does not exist"
        is StoreFailure.Conflict -> "${failure.key} was changed by others at the same time"
        is StoreFailure.TooLarge -> "the configuration is over ${failure.maximumBytes ?: "the maximum number of"} bytes"
        StoreFailure.HistoryGone -> "the object API no longer keeps the changes that were asked for"
        is StoreFailure.Unavailable -> "the object API can't be reached (${failure.cause})"
        is StoreFailure.OutcomeUnknown -> "the answer of the object API was lost (${failure.cause})"
    }
