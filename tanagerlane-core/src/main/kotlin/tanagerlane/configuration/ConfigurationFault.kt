package tanagerlane.configuration

import tanagerlane.model.Revision

/** Reason why received content was not accepted as the configuration. */
public sealed interface ConfigurationFault {
    /** The content is not a configuration document. */
    public data class Undecodable(
        val cause: String,
    ) : ConfigurationFault

    /** The changes in the message do not follow from the current revision, [held]. */
    public data class NoBase(
        val held: Revision,
    ) : ConfigurationFault
}
