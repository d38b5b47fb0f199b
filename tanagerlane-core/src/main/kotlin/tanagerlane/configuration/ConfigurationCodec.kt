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

/** The form in which the object API keeps a configuration: JSON, compressed with gzip where it is long. */
public object ConfigurationCodec {
    /** Latest changes that a configuration remembers for writers whose answer was lost. */
    public const val MAXIMUM_ACCEPTED_CHANGES: Int = 16

    private const val LONGEST_PLAIN_BYTES = 256 shl 10
    private const val MAXIMUM_JSON_BYTES = 16 shl 20
    private const val FIRST_GZIP_BYTE: Byte = 0x1f
    private val format = Json { ignoreUnknownKeys = true }

    /** Encodes [configuration]. */
    public fun encode(configuration: Configuration): Payload {
        val json = format.encodeToString(Configuration.serializer(), configuration).encodeToByteArray()
        return Payload.of(if (json.size > LONGEST_PLAIN_BYTES) compressed(json) else json)
    }

    /** Decodes [content]; fails for anything that [encode] does not make. */
    public fun decode(content: Payload): Result<Configuration, ConfigurationFault> =
        try {
            val json = expanded(content.toByteArray()).decodeToString()
            Ok(format.decodeFromString(Configuration.serializer(), json))
        } catch (exception: IOException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        } catch (exception: IllegalArgumentException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        }

    private fun compressed(json: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(json) }
        return bytes.toByteArray()
    }

    private fun expanded(bytes: ByteArray): ByteArray =
        if (bytes.firstOrNull() == FIRST_GZIP_BYTE) {
            GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAXIMUM_JSON_BYTES) }
        } else {
            bytes
        }
}
