package tanagerlane.sidecar.engine

import tanagerlane.model.RefusalReason

/** What the queue says to the owner of one entry. */
internal sealed interface QueueSignal {
    /** The entry's turn has come. */
    data object Start : QueueSignal

    /** The run has to stop; another start follows. */
    data object Preempt : QueueSignal

    /** The entry has left the queue and no start follows. */
    data class Refuse(
        val reason: RefusalReason,
    ) : QueueSignal
}
