package tanagerlane.batch

import tanagerlane.job.PageName
import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectKey

/**
 * Keys of the objects of one batch job.
 *
 * Headers have a prefix of their own, so that a watch for jobs returns neither items nor results. The chunk states of a
 * job have one too, so that a single listing gives the job's progress.
 */
public data class JobKeys(
    val workspace: WorkspaceName,
    val job: JobId,
) {
    private val path: String = "${encoded(workspace.text)}/${encoded(job.text)}"

    /** Key of the header. */
    public val headerKey: ObjectKey = ObjectKey("$HEADER_PREFIX$path")

    /** Key of the record that is left of the job once it has expired. */
    public val expiredKey: ObjectKey = ObjectKey("jobs/expired/$path")

    /** Prefix of the chunk states. */
    public val statePrefix: String = "jobs/state/$path/"

    /** Returns the key of the items of [chunk] that were written by [upload]. */
    public fun itemsKey(
        upload: String,
        chunk: Int,
    ): ObjectKey = ObjectKey("jobs/items/$path/${encoded(upload)}/$chunk")

    /** Returns the key of the state of [chunk]. */
    public fun stateKey(chunk: Int): ObjectKey = ObjectKey("$statePrefix$chunk")

    /** Returns the key of a page of results of [chunk]. */
    public fun pageKey(
        chunk: Int,
        page: PageName,
    ): ObjectKey = ObjectKey("jobs/results/$path/$chunk/${page.epoch}-${page.sequence}")

    public companion object {
        /** Prefix of all headers. */
        public const val HEADER_PREFIX: String = "jobs/headers/"

        /** Maximum length of the name of a workspace or job, in characters. */
        public const val MAXIMUM_NAME_LENGTH: Int = 128

        /** Returns whether [name] can be part of a key. */
        public fun isValidName(name: String): Boolean = name.length in 1..MAXIMUM_NAME_LENGTH
    }
}

private const val HEXADECIMAL = 16
private const val BYTE_DIGITS = 2

/** Encodes every byte other than a letter, digit or hyphen as an underscore and two hexadecimal digits. */
private fun encoded(name: String): String =
    buildString {
        for (byte in name.encodeToByteArray()) {
            val character = byte.toInt().toChar()
            if (character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character == '-') {
                append(character)
            } else {
                append('_')
                append(byte.toUByte().toString(HEXADECIMAL).padStart(BYTE_DIGITS, '0'))
            }
        }
    }
