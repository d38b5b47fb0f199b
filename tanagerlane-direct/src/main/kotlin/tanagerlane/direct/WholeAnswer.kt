package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import tanagerlane.model.TargetName

/**
 * A complete answer of [target].
 *
 * @property headers headers that may be forwarded
 */
internal class WholeAnswer(
    val target: TargetName,
    val status: Int,
    val headers: List<Map.Entry<String, String>>,
    val content: Buffer,
)
