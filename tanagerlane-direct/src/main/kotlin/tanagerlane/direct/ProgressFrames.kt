package tanagerlane.direct

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import tanagerlane.joblog.SavedProgressRecord
import java.nio.ByteBuffer
import java.util.zip.CRC32

/**
 * Encodes records as frames of length, checksum and body.
 *
 * If a file is truncated in a frame or corrupt from some frame on, all records before that frame can still be read.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object ProgressFrames {
    private const val HEADER_BYTES = Int.SIZE_BYTES + Long.SIZE_BYTES
    private val format = Cbor { ignoreUnknownKeys = true }

    /** Returns the frame of [record]. */
    fun encode(record: SavedProgressRecord): ByteArray {
        val body = format.encodeToByteArray(record)
        return ByteBuffer
            .allocate(HEADER_BYTES + body.size)
            .putInt(body.size)
            .putLong(checksum(body))
            .put(body)
            .array()
    }

    /** Returns the records in [bytes] up to the first frame that is incomplete or corrupt. */
    fun decode(bytes: ByteArray): List<SavedProgressRecord> {
        val records = ArrayList<SavedProgressRecord>()
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.remaining() >= HEADER_BYTES) {
            val length = buffer.getInt()
            val checksum = buffer.getLong()
            if (length !in 0..buffer.remaining()) {
                return records
            }
            val body = ByteArray(length).also { buffer.get(it) }
            records += decodeBody(body, checksum) ?: return records
        }
        return records
    }

    private fun decodeBody(
        body: ByteArray,
        checksum: Long,
    ): SavedProgressRecord? =
        try {
            if (checksum(body) == checksum) format.decodeFromByteArray<SavedProgressRecord>(body) else null
        } catch (_: SerializationException) {
            null
        }

    private fun checksum(body: ByteArray): Long = CRC32().apply { update(body) }.value
}
