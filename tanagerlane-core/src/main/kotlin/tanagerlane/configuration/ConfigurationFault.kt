package tanagerlane.configuration

import tanagerlane.model.Revision

/** Why something that was received did not become the configuration. */
public sealed interface ConfigurationFault {
    /** The content is not a configuration document. */
    public data class Undecodable(
        val cause: String,
    ) : ConfigurationFault

    /** No change of the message is based on the revision that is held. */
    public data class NoBase(
        val held: Revision,
    ) : ConfigurationFault
}
