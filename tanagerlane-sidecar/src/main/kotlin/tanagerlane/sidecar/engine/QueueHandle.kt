package tanagerlane.sidecar.engine

import kotlinx.coroutines.channels.ReceiveChannel

/**
 * An entry in the queue, as the coroutine sees it that runs its work.
 *
 * @property signals what the queue decides about the entry
 * @property onFirstToken tells the queue that an online answer has begun
 * @property onProgress tells the queue how many tokens there are in all
 */
internal class QueueHandle(
    val signals: ReceiveChannel<QueueSignal>,
    val onFirstToken: () -> Unit,
    val onProgress: (Int) -> Unit,
)
