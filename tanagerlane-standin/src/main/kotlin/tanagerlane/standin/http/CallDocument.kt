package tanagerlane.standin.http

import kotlinx.serialization.Serializable

/** A received call as `GET /calls` shows it; each header is a line. */
@Serializable
internal data class CallDocument(
    val method: String,
    val uri: String,
    val headers: List<String>,
    val body: String,
) {
    constructor(call: ReceivedCall) : this(
        method = call.method,
        uri = call.uri,
        headers = call.headers.map { "${it.name}: ${it.value}" },
        body = call.body.toText(),
    )
}
