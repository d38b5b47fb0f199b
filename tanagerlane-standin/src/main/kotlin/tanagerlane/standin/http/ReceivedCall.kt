package tanagerlane.standin.http

import tanagerlane.message.Header
import tanagerlane.model.Payload

/** A call as a stand-in received it. */
public data class ReceivedCall(
    val method: String,
    val uri: String,
    val headers: List<Header>,
    val body: Payload,
) {
    /** Returns whether [text] stands anywhere in the call. */
    public fun contains(text: String): Boolean =
        uri.contains(text) ||
            headers.any { it.name.contains(text) || it.value.contains(text) } ||
            body.toText().contains(text)
}
