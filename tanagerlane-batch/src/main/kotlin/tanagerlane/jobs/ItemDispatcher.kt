package tanagerlane.jobs

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import tanagerlane.concurrency.receiveWithin
import tanagerlane.model.RefusalReason
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs the items of the held chunks, those of the chunk claimed first before others, as capacity allows.
 *
 * @param idleInterval time between two looks at the capacity while no chunk is held
 * @param hungry called when there is capacity and no item to start
 */
internal class ItemDispatcher(
    private val scope: CoroutineScope,
    private val target: BatchTarget,
    private val held: HeldChunks,
    private val idleInterval: Duration,
    private val now: () -> Instant,
    private val hungry: () -> Unit,
) {
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val running = AtomicInteger()

    @Volatile
    private var exclusive = false

    @Volatile
    private var notBefore = Instant.DISTANT_PAST

    /** Number of items for which there is capacity but no item to start. */
    val spareCapacity: Int
        get() {
            val startable = held.all().sumOf { it.startableItems }
            return if (exclusive) 0 else target.idleCapacity() - running.get() - startable
        }

    /** Looks for items to start. */
    fun wake() {
        wakeUps.trySend(Unit)
    }

    /** Starts items until cancelled. */
    suspend fun run() {
        while (true) {
            if (now() >= notBefore) {
                startItems()
            }
            if (spareCapacity > 0) {
                hungry()
            }
            wakeUps.receiveWithin(if (held.size == 0) idleInterval else LOOK_INTERVAL)
        }
    }

    private fun startItems() {
        val capacity = target.idleCapacity()
        for (holder in held.all()) {
            while (true) {
                if (exclusive || running.get() >= capacity) {
                    return
                }
                val item = holder.nextItem() ?: break
                val alone = holder.runsAlone(item)
                if (alone && running.get() > 0) {
                    return
                }
                start(holder, item, alone)
            }
        }
    }

    private fun start(
        holder: ChunkHolder,
        item: Int,
        alone: Boolean,
    ) {
        val itemRun = holder.start(item) ?: return
        var outcome: ItemOutcome = ItemOutcome.NotRun
        running.incrementAndGet()
        exclusive = alone
        val itemJob = scope.launch(start = CoroutineStart.LAZY) { outcome = outcomeOf(itemRun) }
        itemJob.invokeOnCompletion { ended(holder, item, outcome) }
        holder.attach(item, itemJob)
        itemJob.start()
    }

    private fun ended(
        holder: ChunkHolder,
        item: Int,
        outcome: ItemOutcome,
    ) {
        if (outcome == ItemOutcome.NotRun) {
            notBefore = now() + LOOK_INTERVAL
        }
        holder.end(item, outcome)
        exclusive = false
        running.decrementAndGet()
        wake()
    }

    private suspend fun outcomeOf(itemRun: ItemRun): ItemOutcome =
        try {
            target.runItem(itemRun)
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            ItemOutcome.Failed(RefusalReason.TARGET_FAILED)
        } catch (exception: Exception) {
            logger.warn("Item failed: job={} line={}", itemRun.job, itemRun.item.line, exception)
            ItemOutcome.Failed(RefusalReason.TARGET_FAILED)
        }

    private companion object {
        val LOOK_INTERVAL: Duration = 1.seconds
        val logger: Logger = LoggerFactory.getLogger(ItemDispatcher::class.java)
    }
}
