package tanagerlane.entry

import tanagerlane.inventory.CallerKey
import tanagerlane.model.KeyDigest
import tanagerlane.model.WorkspaceName
import java.security.MessageDigest
import java.util.HexFormat

/** Finds the workspace of a caller's key. */
internal class KeyLookup(
    keys: List<CallerKey>,
) {
    private val workspaces = keys.associate { it.digest to it.workspace }

    /** Workspace of the key in [authorization], or null when there is no valid key. */
    fun workspaceOf(authorization: String?): WorkspaceName? {
        val key = authorization?.removePrefix(SCHEME)?.takeIf { it != authorization } ?: return null
        return workspaces[digestOf(key)]
    }

    companion object {
        private const val SCHEME = "Bearer "

        fun digestOf(key: String): KeyDigest {
            val hash = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return KeyDigest(HexFormat.of().formatHex(hash))
        }
    }
}
