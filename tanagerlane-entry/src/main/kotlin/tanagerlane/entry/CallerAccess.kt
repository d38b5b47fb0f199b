package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName

/**
 * Checks whether the entry is serving and authenticates callers.
 *
 * @param state configuration in force, or null if there is none or it may be stale
 * @param draining whether the entry refuses requests because it is stopping
 */
internal class CallerAccess(
    private val state: () -> EntryState?,
    private val draining: () -> Boolean,
) {
    /** Returns the configuration in force, or a refusal if the entry is stopping or its configuration may be stale. */
    fun servingState(): Result<EntryState, CallerRefusal> {
        if (draining()) {
            return refused(RefusalReason.SHUTTING_DOWN)
        }
        val current = state() ?: return refused(RefusalReason.CONFIGURATION_STALE)
        return Ok(current)
    }

    /** Finds the workspace of the caller's key and sets it on [exchange]; refuses if there is no valid key. */
    fun authenticate(
        current: EntryState,
        exchange: CallerExchange,
    ): Result<WorkspaceName, CallerRefusal> {
        val workspace = current.workspaceOf(exchange.header("authorization"))
        exchange.workspace = workspace
        return if (workspace == null) refused(RefusalReason.NO_KEY) else Ok(workspace)
    }

    private fun refused(reason: RefusalReason) = Err(CallerRefusal(reason, RunState.NOT_RUN, reason.explanation))
}
