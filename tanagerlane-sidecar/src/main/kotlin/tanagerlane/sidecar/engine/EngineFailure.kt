package tanagerlane.sidecar.engine

import tanagerlane.model.Payload

/** Reason why the engine did not complete a run. */
internal sealed interface EngineFailure {
    /** No connection could be made, so the engine did not receive the request. */
    data object Unreachable : EngineFailure

    /** The engine answered with an error [status]. */
    data class ErrorAnswer(
        val status: Int,
        val body: Payload,
    ) : EngineFailure

    /** The engine's software has another version than that which began the answer. */
    data object OtherVersion : EngineFailure

    /** The stream was interrupted, or its answer exceeded a limit. */
    data object Broken : EngineFailure
}
