package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName

/**
 * Decides whether a caller is served at all.
 *
 * @param state configuration in force, or null while there is none that may be relied on
 * @param draining whether the host is stopping
 */
internal class CallerAccess(
    private val state: () -> EntryState?,
    private val draining: () -> Boolean,
) {
    /** Lets a caller pass on a route that is open to all. */
    fun servingState(): Result<EntryState, CallerRefusal> {
        if (draining()) {
            return refused(RefusalReason.SHUTTING_DOWN)
        }
        val current = state() ?: return refused(RefusalReason.CONFIGURATION_STALE)
        return Ok(current)
    }

    /** Finds the workspace of the caller's key. */
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
