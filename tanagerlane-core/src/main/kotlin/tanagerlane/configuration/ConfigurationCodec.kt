package tanagerlane.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import tanagerlane.inventory.Configuration
import tanagerlane.model.Payload
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Format in which a configuration is stored in the object API: JSON, compressed with gzip above a size limit. */
public object ConfigurationCodec {
    /** Number of latest changes listed in a configuration, so that writers whose response was lost can find theirs. */
    public const val MAXIMUM_ACCEPTED_CHANGES: Int = 16

    private const val MAXIMUM_UNCOMPRESSED_BYTES = 256 shl 10
    private const val MAXIMUM_JSON_BYTES = 16 shl 20
    private const val FIRST_GZIP_BYTE: Byte = 0x1f
    private val format = Json { ignoreUnknownKeys = true }

    /** Encodes [configuration]. */
    public fun encode(configuration: Configuration): Payload {
        val json = format.encodeToString(Configuration.serializer(), configuration).encodeToByteArray()
        return Payload.of(if (json.size > MAXIMUM_UNCOMPRESSED_BYTES) compress(json) else json)
    }

    /** Decodes [content]; fails with [ConfigurationFault.Undecodable] for anything that [encode] does not produce. */
    public fun decode(content: Payload): Result<Configuration, ConfigurationFault> =
        try {
            val json = decompress(content.toByteArray()).decodeToString()
            Ok(format.decodeFromString(Configuration.serializer(), json))
        } catch (exception: IOException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        } catch (exception: IllegalArgumentException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        }

    private fun compress(json: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(json) }
        return bytes.toByteArray()
    }

    private fun decompress(bytes: ByteArray): ByteArray =
        if (bytes.firstOrNull() == FIRST_GZIP_BYTE) {
            GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAXIMUM_JSON_BYTES) }
        } else {
            bytes
        }
}
