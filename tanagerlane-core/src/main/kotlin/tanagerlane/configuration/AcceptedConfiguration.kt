package tanagerlane.configuration

import tanagerlane.inventory.Configuration
import tanagerlane.keys.KeyRing
import tanagerlane.model.Payload

/** A configuration that the process has accepted, with values derived from it. */
public class AcceptedConfiguration(
    public val configuration: Configuration,
) {
    /** Valid caller keys. */
    public val keys: KeyRing = KeyRing.of(configuration)

    /** The document as it is stored in the object API. */
    public val content: Payload by lazy { ConfigurationCodec.encode(configuration) }
}
