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

/** The form in which the object API keeps a configuration: JSON, compressed with gzip. */
public object ConfigurationCodec {
    private const val MAXIMUM_JSON_BYTES = 16 shl 20
    private val format = Json { ignoreUnknownKeys = true }

    /** Encodes [configuration]. */
    public fun encode(configuration: Configuration): Payload {
        val json = format.encodeToString(Configuration.serializer(), configuration)
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(json.encodeToByteArray()) }
        return Payload.of(bytes.toByteArray())
    }

    /** Decodes [content]; fails for anything that [encode] does not make. */
    public fun decode(content: Payload): Result<Configuration, ConfigurationFault> =
        try {
            val json = GZIPInputStream(content.toByteArray().inputStream()).use { it.readNBytes(MAXIMUM_JSON_BYTES) }
            Ok(format.decodeFromString(Configuration.serializer(), json.decodeToString()))
        } catch (exception: IOException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        } catch (exception: IllegalArgumentException) {
            Err(ConfigurationFault.Undecodable(exception.message.orEmpty()))
        }
}
