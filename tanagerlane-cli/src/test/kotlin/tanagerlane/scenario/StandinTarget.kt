package tanagerlane.scenario

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement

/** The stand-in of a target, with what it received. */
class StandinTarget(
    val name: String,
    val process: DaemonProcess,
    val url: String,
) {
    /** The stand-in called without the system between. */
    val direct = Caller(url)

    /** All calls that it received, each as its JSON text. */
    fun calls(): List<JsonElement> = direct.get("/calls").json as JsonArray

    /** Calls of POST in which [marker] stands. */
    fun runsOf(marker: String): Int = calls().count { marker in it.toString() && "\"POST\"" in it.toString() }

    /** Puts [faults], a JSON object, in force. */
    fun faults(faults: String) {
        check(direct.put("/faults", faults).status == 200) { "faults were not taken: $faults" }
    }
}
