package tanagerlane.sidecar.engine

import kotlinx.coroutines.channels.ReceiveChannel

/**
 * Connects an entry of the queue with the coroutine that runs its work.
 *
 * @property signals decisions of the queue about the entry
 * @property onFirstToken notifies the queue that an online answer has begun
 * @property onProgress notifies the queue of the total number of tokens so far
 */
internal class QueueHandle(
    val signals: ReceiveChannel<QueueSignal>,
    val onFirstToken: () -> Unit,
    val onProgress: (Int) -> Unit,
)
