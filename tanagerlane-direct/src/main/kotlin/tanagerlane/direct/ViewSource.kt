package tanagerlane.direct

import com.github.michaelbull.result.Result
import tanagerlane.message.ViewObject

/**
 * Objects that others write, and how they are read.
 *
 * @property kind kind of the objects in the object API
 * @property decode reads one object, or tells why it can't be read
 */
public data class ViewSource<T>(
    val kind: String,
    val decode: (ViewObject) -> Result<T, UnreadableObject>,
)
