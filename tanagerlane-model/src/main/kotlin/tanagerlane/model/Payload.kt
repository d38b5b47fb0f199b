package tanagerlane.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ByteArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An immutable byte sequence, compared by content. */
@Serializable(with = PayloadSerializer::class)
public class Payload private constructor(
    private val bytes: ByteArray,
) {
    /** Length in bytes. */
    public val size: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    /** Returns the bytes decoded as UTF-8; malformed input is replaced with the replacement character. */
    public fun toText(): String = bytes.decodeToString()

    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload(size=$size)"

    public companion object {
        /** The empty payload. */
        public val EMPTY: Payload = Payload(ByteArray(0))

        /** Returns a payload with a copy of [bytes]. */
        public fun of(bytes: ByteArray): Payload = Payload(bytes.copyOf())

        /** Returns a payload with [text] encoded as UTF-8. */
        public fun of(text: String): Payload = Payload(text.encodeToByteArray())
    }
}

internal object PayloadSerializer : KSerializer<Payload> {
    private val delegate = ByteArraySerializer()
    override val descriptor: SerialDescriptor = SerialDescriptor("tanagerlane.model.Payload", delegate.descriptor)

    override fun serialize(
        encoder: Encoder,
        value: Payload,
    ): Unit = encoder.encodeSerializableValue(delegate, value.toByteArray())

    override fun deserialize(decoder: Decoder): Payload = Payload.of(decoder.decodeSerializableValue(delegate))
}
