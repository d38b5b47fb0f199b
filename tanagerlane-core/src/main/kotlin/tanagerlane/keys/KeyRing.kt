package tanagerlane.keys

import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.model.KeyDigest
import tanagerlane.model.Revision

/** The caller keys that are valid at one revision of the configuration. */
public class KeyRing private constructor(
    public val revision: Revision,
    private val keys: Map<KeyDigest, CallerKey>,
) {
    /** Number of valid keys. */
    public val size: Int get() = keys.size

    /**
     * Returns the valid key that matches [key], or null if there is none.
     *
     * Only digests are compared, so the time taken does not reveal how much of a valid key was guessed.
     */
    public fun find(key: PresentedKey): CallerKey? = keys[key.digest()]

    public companion object {
        /** Returns the key ring of [configuration]. */
        public fun of(configuration: Configuration): KeyRing =
            KeyRing(configuration.revision, configuration.keys.associateBy { it.digest })
    }
}
