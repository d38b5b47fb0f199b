package tanagerlane.direct

import io.vertx.core.MultiMap

/** Headers that apply to a single connection and are never forwarded. */
private val HOP_BY_HOP_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )

/**
 * Returns the headers that may be forwarded: neither hop-by-hop headers nor those listed in a `connection` header.
 *
 * @param dropped further headers to omit, by lower-case name
 */
internal fun MultiMap.endToEndHeaders(dropped: Set<String> = emptySet()): List<Map.Entry<String, String>> {
    val listed = getAll("connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    return entries().filter {
        val name = it.key.lowercase()
        name !in HOP_BY_HOP_HEADERS && name !in dropped && name !in listed
    }
}
