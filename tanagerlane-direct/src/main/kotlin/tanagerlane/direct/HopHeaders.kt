package tanagerlane.direct

import io.vertx.core.MultiMap

/** Headers that concern one connection only and are never passed on. */
private val CONNECTION_HEADERS =
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

/** Returns the headers that may be passed on, without those in [dropped], whose names are in lower case. */
internal fun MultiMap.endToEndHeaders(dropped: Set<String> = emptySet()): List<Map.Entry<String, String>> {
    val named = getAll("connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    return entries().filter {
        val name = it.key.lowercase()
        name !in CONNECTION_HEADERS && name !in dropped && name !in named
    }
}
