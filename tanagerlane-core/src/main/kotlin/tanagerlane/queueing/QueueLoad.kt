package tanagerlane.queueing

/**
 * Load of an [AdmissionQueue].
 *
 * @property batchLimit maximum number of batch entries that may currently run
 */
public data class QueueLoad(
    val onlineQueued: Int,
    val onlineRunning: Int,
    val batchQueued: Int,
    val batchRunning: Int,
    val batchLimit: Int,
    val window: Int,
    val draining: Boolean,
)
