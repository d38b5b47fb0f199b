package tanagerlane.documents

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Maximum nesting depth of objects and arrays in untrusted documents; parsers recurse once for each level. */
public const val MAXIMUM_JSON_DEPTH: Int = 128

/** Returns the JSON object in [text], or null if it is something else or nested deeper than [MAXIMUM_JSON_DEPTH]. */
public fun jsonObjectOrNull(text: String): JsonObject? = jsonElementOrNull(text) as? JsonObject

/** Returns the JSON value in [text], or null if it is not JSON or nested deeper than [MAXIMUM_JSON_DEPTH]. */
public fun jsonElementOrNull(text: String): JsonElement? =
    try {
        if (jsonDepthOf(text) > MAXIMUM_JSON_DEPTH) null else Json.parseToJsonElement(text)
    } catch (_: SerializationException) {
        null
    }

/** Returns the maximum nesting depth of brackets outside strings in [text], which need not be valid JSON. */
public fun jsonDepthOf(text: String): Int {
    var depth = 0
    var deepest = 0
    var isInString = false
    var isEscaped = false
    for (character in text) {
        when {
            isEscaped -> isEscaped = false
            isInString && character == '\\' -> isEscaped = true
            character == '"' -> isInString = !isInString
            isInString -> Unit
            character == '{' || character == '[' -> deepest = maxOf(deepest, ++depth)
            character == '}' || character == ']' -> depth--
        }
    }
    return deepest
}
