package tanagerlane.configuration

import tanagerlane.inventory.Configuration
import tanagerlane.keys.KeyRing
import tanagerlane.model.Payload

/** A configuration that a process has accepted, with what it derives from it. */
public class AcceptedConfiguration(
    public val configuration: Configuration,
) {
    /** The keys that are valid. */
    public val keys: KeyRing = KeyRing.of(configuration)

    /** The document as the object API keeps it. */
    public val content: Payload by lazy { ConfigurationCodec.encode(configuration) }
}
