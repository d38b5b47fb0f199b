package tanagerlane.direct

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import tanagerlane.message.ViewObject
import tanagerlane.message.ViewRequest
import tanagerlane.message.ViewUpdate
import tanagerlane.model.HostName
import tanagerlane.store.Changes
import tanagerlane.store.Listing
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.views.ObjectView
import tanagerlane.views.ViewChange
import tanagerlane.views.WatcherSelection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps a view of one kind of objects up to date, by watching the object API or by updates from other processes.
 *
 * @param onChange called with the view after each change, and after each confirmation that nothing has changed
 */
internal class ViewSynchronizer(
    private val kind: String,
    private val store: ObjectStore,
    private val fleet: Fleet,
    private val times: ViewTimes,
    private val now: () -> Instant,
    private val onChange: (ObjectView) -> Unit,
) {
    private val confirmations = SharedReads(CONFIRMATION_PAUSE, now, ::read)
    private val watcherSelection = WatcherSelection(fleet.ownHost, WATCHERS, times.updateTimeout)
    private var retryPause = MINIMUM_RETRY_PAUSE
    private var isStoreUnavailable = false
    private var isCopyRequested = false

    /** The latest known state of the objects. */
    var view = ObjectView(kind)
        private set

    /** Time at which the view was last confirmed to be current, or null before the first confirmation. */
    var lastConfirmedAt: Instant? = null
        private set

    /** Time since the view was last confirmed to be current, or null before the first confirmation. */
    fun age(): Duration? = lastConfirmedAt?.let { now() - it }

    /** Watches the object API while this process is selected as a watcher; runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (watcherSelection.shouldWatch(kind, fleet.reachable, age())) {
                if (times.asksPeers && isOverdue()) {
                    requestCopy()
                }
                poll()
            } else {
                delay(SELECTION_INTERVAL)
            }
        }
    }

    /** Applies [update], which [from] has relayed; requests a snapshot if the update does not follow on this view. */
    fun onUpdate(
        from: HostName,
        update: ViewUpdate,
    ) {
        // Processes that start send their first listing to all others.
        if (update.after == 0L && times.keepsHistory && view.isComplete && !isCopyRequested) {
            return
        }
        val updated = view.updated(update)
        if (updated == null) {
            isCopyRequested = true
            fleet.send(from, ViewRequest(kind))
        } else {
            if (update.after == 0L) isCopyRequested = false
            accept(updated, update.age)
        }
    }

    /** Sends a snapshot to [to] if this view is complete. */
    fun onSnapshotRequest(to: HostName) {
        val age = age()
        if (view.isComplete && age != null) {
            fleet.send(to, view.snapshotUpdate(fleet.ownHost, age))
        }
    }

    /**
     * Reads the objects once more, for all that wait.
     *
     * @return whether the object API has answered a read that began later than this call
     */
    suspend fun confirm(): Boolean = confirmations.read()

    /** Returns what has changed since version [at] up to a time later than this call, or null if that is not known. */
    suspend fun changesSince(at: ObjectVersion): ViewChange? =
        watch(at, Duration.ZERO)
            .map { ViewChange.of(it, view.objects.keys, since = at) }
            .getOrElse { failure ->
                logger.info("changes not read kind={} since={} cause={}", kind, at, failure)
                null
            }

    private suspend fun read(): Boolean {
        val askedAt = now()
        val result = if (view.isComplete) watch(view.at, Duration.ZERO) else list()
        return result.fold(
            success = { update ->
                view.updated(update)?.let { accept(it, answerAge(askedAt)) }
                true
            },
            failure = { failure ->
                logger.info("view not confirmed kind={} at={} cause={}", kind, view.at, failure)
                false
            },
        )
    }

    private suspend fun poll() {
        val before = view.at
        val askedAt = now()
        val result = if (view.isComplete) watch(before, times.watchTimeout) else list()
        val update =
            result.getOrElse { failure ->
                onStoreFailure(failure)
                return
            }
        onStoreAvailable()
        publish(update, askedAt)
        delay(times.pause)
    }

    private suspend fun watch(
        after: ObjectVersion,
        wait: Duration,
    ): Result<ViewUpdate, StoreFailure> = store.watch("$kind/", after, wait).map { updateOf(after, it) }

    private suspend fun list(): Result<ViewUpdate, StoreFailure> = store.list("$kind/").map(::updateOf)

    private fun updateOf(
        after: ObjectVersion,
        changes: Changes,
    ): ViewUpdate {
        val objects =
            changes.changes.map { change ->
                val current = change.current
                ViewObject(nameOf(change.key.path), current?.version?.number ?: changes.at.number, current?.value)
            }
        return ViewUpdate(fleet.ownHost, kind, after = after.number, at = changes.at.number, objects = objects)
    }

    private fun updateOf(listing: Listing): ViewUpdate {
        val objects = listing.objects.map { ViewObject(nameOf(it.key.path), it.version.number, it.value) }
        return ViewUpdate(fleet.ownHost, kind, after = 0, at = listing.at.number, objects = objects)
    }

    private fun nameOf(path: String): String = path.substringAfter('/')

    private suspend fun onStoreFailure(failure: StoreFailure) {
        if (failure is StoreFailure.HistoryGone) {
            logger.info("view relisted kind={} at={} cause=history_gone", kind, view.at)
            relist()
            return
        }
        if (!isStoreUnavailable) {
            isStoreUnavailable = true
            logger.warn("store lost kind={} at={} age={} cause={}", kind, view.at, age(), failure)
        }
        requestSnapshot()
        delay(retryPause)
        retryPause = minOf(retryPause * 2, MAXIMUM_RETRY_PAUSE)
    }

    /** Requests a snapshot from another process if this one has started while the object API was unavailable. */
    private fun requestSnapshot() {
        if (!view.isComplete) {
            requestCopy()
        }
    }

    private fun requestCopy() {
        fleet.reachable.randomOrNull()?.let {
            isCopyRequested = true
            fleet.send(it, ViewRequest(kind))
        }
    }

    /** Whether the object API and the other processes have confirmed nothing for longer than they should take. */
    private fun isOverdue(): Boolean = age()?.let { it > times.updateTimeout } ?: true

    private suspend fun relist() {
        val askedAt = now()
        val update =
            list().getOrElse {
                delay(retryPause)
                return
            }
        publish(update, askedAt)
    }

    /** Accepts and relays [update], which the object API has sent after [askedAt]. */
    private fun publish(
        update: ViewUpdate,
        askedAt: Instant,
    ) {
        val aged = update.copy(age = answerAge(askedAt))
        view.updated(aged)?.let { accept(it, aged.age) }
        fleet.broadcast(aged)
    }

    /** Time for which an answer to a call made at [askedAt] may have lain in the socket, as this process stood still. */
    private fun answerAge(askedAt: Instant): Duration = minOf(now() - askedAt, fleet.connectionDelay)

    private fun onStoreAvailable() {
        retryPause = MINIMUM_RETRY_PAUSE
        if (isStoreUnavailable) {
            isStoreUnavailable = false
            logger.info("store regained kind={} at={}", kind, view.at)
        }
    }

    private fun accept(
        updated: ObjectView,
        age: Duration,
    ) {
        view = updated
        val confirmedAt = now() - age
        lastConfirmedAt = maxOf(lastConfirmedAt ?: confirmedAt, confirmedAt)
        onChange(updated)
    }

    private companion object {
        /** Number of processes that watch each kind of objects. */
        const val WATCHERS = 2

        /** Time between two checks whether this process is selected as a watcher. */
        val SELECTION_INTERVAL = 200.milliseconds

        /** Least time between two reads that confirm the view. */
        val CONFIRMATION_PAUSE = 50.milliseconds
        val MINIMUM_RETRY_PAUSE = 100.milliseconds
        val MAXIMUM_RETRY_PAUSE = 1.seconds
        val logger = LoggerFactory.getLogger(ViewSynchronizer::class.java)
    }
}
