package tanagerlane.keys

import tanagerlane.model.KeyDigest
import java.security.MessageDigest
import java.util.Base64

/** A caller's key in clear; it is never stored, logged or passed on. */
@JvmInline
public value class PresentedKey(
    public val text: String,
) {
    /** Returns the form in which the key is stored. */
    public fun digest(): KeyDigest {
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return KeyDigest(digest.joinToString("") { "%02x".format(it) })
    }

    override fun toString(): String = "PresentedKey(hidden)"

    public companion object {
        /** Random bytes that a new key is made of. */
        public const val RANDOM_BYTES: Int = 32

        private const val PREFIX = "tl-"

        /** Makes a key of [random], which has to come from a cryptographic generator. */
        public fun of(random: ByteArray): PresentedKey {
            require(random.size == RANDOM_BYTES) { "a key needs $RANDOM_BYTES random bytes but got ${random.size}" }
            return PresentedKey(PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random))
        }
    }
}
