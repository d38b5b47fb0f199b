package tanagerlane.sidecar.engine

import io.vertx.core.http.HttpClientResponse
import tanagerlane.model.Payload

/** The beginning of an engine's answer. */
internal sealed interface EngineHead {
    /** A stream, paused before its first event. */
    data class Streaming(
        val response: HttpClientResponse,
    ) : EngineHead

    /** A whole answer that is no stream. */
    data class Failed(
        val status: Int,
        val body: Payload,
    ) : EngineHead
}
