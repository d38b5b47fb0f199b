package tanagerlane.runtime.configuration

import tanagerlane.configuration.ConfigurationFault
import tanagerlane.model.FailureDomain
import tanagerlane.model.Revision
import tanagerlane.model.WorkspaceName
import tanagerlane.store.StoreFailure

/** Why a change of the configuration was not made. */
public sealed interface ConfigurationFailure {
    /** No inventory has been applied yet. */
    public data object NoConfiguration : ConfigurationFailure

    /** The inventory was changed at [changed], after the operator's [base]. */
    public data class StaleBase(
        val base: Revision,
        val changed: Revision,
    ) : ConfigurationFailure

    /** The inventory has no such workspace. */
    public data class UnknownWorkspace(
        val workspace: WorkspaceName,
    ) : ConfigurationFailure

    /** The workspace has another key of this label. */
    public data class DuplicateLabel(
        val workspace: WorkspaceName,
        val label: String,
    ) : ConfigurationFailure

    /** The workspace has no key of this label. */
    public data class UnknownKey(
        val workspace: WorkspaceName,
        val label: String,
    ) : ConfigurationFailure

    /** The stored document can't be read. */
    public data class Unreadable(
        val fault: ConfigurationFault,
    ) : ConfigurationFailure

    /** The store failed while it was read. */
    public data class NotRead(
        val failure: StoreFailure,
    ) : ConfigurationFailure

    /** The store failed; the change was certainly not made. */
    public data class NotMade(
        val failure: StoreFailure,
    ) : ConfigurationFailure

    /** The answer of the store was lost and it could not be read back; the change may have been made. */
    public data class OutcomeUnknown(
        val failure: StoreFailure,
    ) : ConfigurationFailure

    /** [revision] was written, but no process of [silent] has confirmed in time that it holds it. */
    public data class NotConfirmed(
        val revision: Revision,
        val silent: List<FailureDomain>,
    ) : ConfigurationFailure
}
