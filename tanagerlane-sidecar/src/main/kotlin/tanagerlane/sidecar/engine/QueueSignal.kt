package tanagerlane.sidecar.engine

import tanagerlane.model.RefusalReason

/** Decision of the queue about one entry, sent to the coroutine that runs its work. */
internal sealed interface QueueSignal {
    /** The work may start or resume. */
    data object Start : QueueSignal

    /** The run must stop; another [Start] follows. */
    data object Preempt : QueueSignal

    /** The entry was removed from the queue; no [Start] follows. */
    data class Refuse(
        val reason: RefusalReason,
    ) : QueueSignal
}
