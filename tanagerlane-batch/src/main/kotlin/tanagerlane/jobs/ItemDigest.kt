package tanagerlane.jobs

import tanagerlane.model.Payload
import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 over the lines of a submission. */
internal class ItemDigest {
    private val digest = MessageDigest.getInstance("SHA-256")

    fun add(line: Payload) {
        digest.update(line.toByteArray())
        digest.update(LINE_END)
    }

    fun text(): String = HexFormat.of().formatHex(digest.digest())

    private companion object {
        const val LINE_END = '\n'.code.toByte()
    }
}
