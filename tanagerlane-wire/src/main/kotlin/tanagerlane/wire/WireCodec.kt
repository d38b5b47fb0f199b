package tanagerlane.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import tanagerlane.message.WireMessage

/** Turns messages into CBOR and back. */
@OptIn(ExperimentalSerializationApi::class)
public object WireCodec {
    private val format =
        Cbor {
            alwaysUseByteString = true
            ignoreUnknownKeys = true
        }

    /** Kept, because each call of `serializer()` of a sealed interface builds a table of all its messages. */
    private val serializer = WireMessage.serializer()

    /** Encodes [message]. */
    public fun encode(message: WireMessage): ByteArray = format.encodeToByteArray(serializer, message)

    /** Decodes [bytes]; fails with [WireFault.Undecodable] for anything that is not a message. */
    public fun decode(bytes: ByteArray): Result<WireMessage, WireFault> =
        try {
            Ok(format.decodeFromByteArray(serializer, bytes))
        } catch (exception: SerializationException) {
            Err(WireFault.Undecodable(exception.message.orEmpty()))
        } catch (exception: IllegalArgumentException) {
            Err(WireFault.Undecodable(exception.message.orEmpty()))
        } catch (exception: IndexOutOfBoundsException) {
            Err(WireFault.Undecodable(exception.message.orEmpty()))
        }
}
