package tanagerlane.sidecar.engine

import tanagerlane.model.Payload

/** Why the engine did not carry a run to its end. */
internal sealed interface EngineFailure {
    /** No connection could be made, so the engine saw nothing of the run. */
    data object Unreachable : EngineFailure

    /** The engine answered with an error [status]. */
    data class ErrorAnswer(
        val status: Int,
        val body: Payload,
    ) : EngineFailure

    /** The stream broke off. */
    data object Broken : EngineFailure
}
