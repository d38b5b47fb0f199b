package tanagerlane.scenario

import java.io.IOException

/** An entry or a sidecar of a scenario and where it listens. */
class DaemonNode(
    val process: DaemonProcess,
    val wirePort: Int,
    private val operatorUrl: String,
    val callerUrl: String,
) {
    private val operators = Caller(operatorUrl)

    /** Whether the balancer may send to it. */
    val isHealthy: Boolean get() = answerOf("/health")?.status == 200

    /** Its state as JSON, or null where it does not answer. */
    fun status(): String? = answerOf("/status")?.body

    private fun answerOf(path: String): Caller.Answer? =
        try {
            operators.get(path)
        } catch (_: IOException) {
            null
        }
}
