package tanagerlane.scenario

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Type of a refusal and what it says about the run. */
data class Refused(
    val type: String,
    val run: String,
)

internal fun refusalOf(body: JsonElement): Refused {
    val error = body.jsonObject.getValue("error").jsonObject
    return Refused(error.getValue("type").jsonPrimitive.content, error.getValue("run").jsonPrimitive.content)
}
