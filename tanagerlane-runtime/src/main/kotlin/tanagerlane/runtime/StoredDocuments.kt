package tanagerlane.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import tanagerlane.model.Payload

/** Turns objects of the system into JSON payloads and back; unknown fields are passed over. */
public object StoredDocuments {
    private val format = Json { ignoreUnknownKeys = true }

    /** Encodes [value]. */
    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): Payload = Payload.of(format.encodeToString(serializer, value))

    /** Decodes [payload]; fails for anything that is not a document of this type. */
    public fun <T> decode(
        serializer: KSerializer<T>,
        payload: Payload,
    ): Result<T, DocumentFault> =
        try {
            Ok(format.decodeFromString(serializer, payload.toText()))
        } catch (exception: SerializationException) {
            Err(DocumentFault(serializer.descriptor.serialName, exception.message.orEmpty()))
        } catch (exception: IllegalArgumentException) {
            Err(DocumentFault(serializer.descriptor.serialName, exception.message.orEmpty()))
        }
}
