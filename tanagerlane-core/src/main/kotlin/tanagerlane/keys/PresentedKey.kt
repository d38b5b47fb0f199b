package tanagerlane.keys

import tanagerlane.model.KeyDigest
import java.security.MessageDigest
import java.util.Base64

/** A caller's key in plain text; it is never stored, logged or passed on. */
@JvmInline
public value class PresentedKey(
    public val text: String,
) {
    /** Returns the digest under which the key is stored. */
    public fun digest(): KeyDigest {
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return KeyDigest(digest.joinToString("") { "%02x".format(it) })
    }

    override fun toString(): String = "PresentedKey(hidden)"

    public companion object {
        /** Number of random bytes in a new key. */
        public const val RANDOM_BYTES: Int = 32

        private const val PREFIX = "tl-"

        /** Creates a key from [random], which has to come from a cryptographically secure generator. */
        public fun of(random: ByteArray): PresentedKey {
            require(
                random.size == RANDOM_BYTES,
            ) { "a key requires $RANDOM_BYTES random bytes but ${random.size} were given" }
            return PresentedKey(PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random))
        }
    }
}
