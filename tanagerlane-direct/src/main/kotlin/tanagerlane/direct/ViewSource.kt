package tanagerlane.direct

import com.github.michaelbull.result.Result
import tanagerlane.message.ViewObject

/**
 * A kind of objects that other systems write to the object API, and the decoder for them.
 *
 * @property kind kind of the objects, the first segment of their keys
 * @property decode decodes one object, or returns why it cannot be decoded
 */
public data class ViewSource<T>(
    val kind: String,
    val decode: (ViewObject) -> Result<T, UnreadableObject>,
)
