package tanagerlane.quarantine

import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import java.io.DataOutputStream
import java.io.OutputStream
import java.security.DigestOutputStream
import java.security.MessageDigest

/**
 * What stays the same when a caller sends a request again.
 *
 * @param caller name of the workspace, or the caller's key if it belongs to none; null if there is neither
 * @param uri path and query
 * @param parts parts of the prompt, as far as headers describe it
 */
public class RequestIdentity(
    private val caller: String?,
    private val method: String,
    private val host: String,
    private val uri: String,
    private val body: ByteArray,
    private val parts: List<PromptPart> = emptyList(),
) {
    /** Returns the digest under which processes tell each other of the request; takes time in proportion to the body. */
    public fun digest(): RequestDigest {
        val digest = MessageDigest.getInstance("SHA-256")
        DataOutputStream(DigestOutputStream(OutputStream.nullOutputStream(), digest)).use { output ->
            for (text in listOf(caller.orEmpty(), method, host, uri)) {
                output.writeField(text.encodeToByteArray())
            }
            output.writeField(body)
            parts.forEach { output.writeField(it.text.encodeToByteArray()) }
        }
        return RequestDigest(digest.digest().copyOf(DIGEST_BYTES).toHexString())
    }

    private fun DataOutputStream.writeField(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    private companion object {
        const val DIGEST_BYTES = 16
    }
}
