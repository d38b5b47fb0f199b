package tanagerlane.keys

import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.model.KeyDigest
import tanagerlane.model.Revision

/** The keys that are valid at one revision. */
public class KeyRing private constructor(
    public val revision: Revision,
    private val keys: Map<KeyDigest, CallerKey>,
) {
    /** Number of valid keys. */
    public val size: Int get() = keys.size

    /**
     * Finds the key that was presented, or null where it isn't valid.
     *
     * The work doesn't depend on how much of a valid key was guessed, as only digests are compared.
     */
    public fun find(key: PresentedKey): CallerKey? = keys[key.digest()]

    public companion object {
        /** The keys of [configuration]. */
        public fun of(configuration: Configuration): KeyRing =
            KeyRing(configuration.revision, configuration.keys.associateBy { it.digest })
    }
}
