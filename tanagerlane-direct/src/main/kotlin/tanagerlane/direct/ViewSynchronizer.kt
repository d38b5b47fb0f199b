package tanagerlane.direct

import com.github.michaelbull.result.Result
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
import tanagerlane.views.WatcherSelection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps a view of one kind of objects up to date, by watching or by what other processes relay.
 *
 * @param onChange takes the view after each change, and after each confirmation that there was none
 */
internal class ViewSynchronizer(
    private val kind: String,
    private val store: ObjectStore,
    private val fleet: Fleet,
    private val times: ViewTimes,
    private val now: () -> Instant,
    private val onChange: (ObjectView) -> Unit,
) {
    private val duty = WatcherSelection(fleet.ownHost, WATCHERS, times.updateTimeout)
    private var retryPause = FIRST_RETRY
    private var isAway = false

    var view = ObjectView(kind)
        private set

    /** When the view was last known to be current, or null before the first time. */
    var lastConfirmedAt: Instant? = null
        private set

    /** Time since the view was last known to be current, or null before the first time. */
    fun age(): Duration? = lastConfirmedAt?.let { now() - it }

    suspend fun run() {
        while (true) {
            if (duty.shouldWatch(kind, fleet.reachable, age())) {
                poll()
            } else {
                delay(DUTY_INTERVAL)
            }
        }
    }

    /** Takes in what [from] relays. */
    fun onUpdate(
        from: HostName,
        update: ViewUpdate,
    ) {
        val updated = view.updated(update)
        if (updated == null) {
            fleet.send(from, ViewRequest(kind))
        } else {
            accept(updated, update.age)
        }
    }

    /** Sends [to] a complete copy. */
    fun onSnapshotRequest(to: HostName) {
        val age = age()
        if (view.isComplete && age != null) {
            fleet.send(to, view.snapshotUpdate(fleet.ownHost, age))
        }
    }

    private suspend fun poll() {
        val before = view.at
        val update = if (view.isComplete) watched(before) else listed()
        val news =
            update.getOrElse { failure ->
                failed(failure)
                return
            }
        regained()
        publish(news)
        delay(times.pause)
    }

    private suspend fun watched(after: ObjectVersion): Result<ViewUpdate, StoreFailure> =
        store.watch("$kind/", after, times.watchTimeout).map { updateOf(after, it) }

    private suspend fun listed(): Result<ViewUpdate, StoreFailure> = store.list("$kind/").map(::updateOf)

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

    private suspend fun failed(failure: StoreFailure) {
        if (failure is StoreFailure.HistoryGone) {
            logger.info("view listed anew kind={} at={} cause=history_gone", kind, view.at)
            relist()
            return
        }
        if (!isAway) {
            isAway = true
            logger.warn("store lost kind={} at={} age={} cause={}", kind, view.at, age(), failure)
        }
        askPeer()
        delay(retryPause)
        retryPause = minOf(retryPause * 2, LONGEST_RETRY)
    }

    /** Asks another process for a copy where this one has started without the object API. */
    private fun askPeer() {
        if (!view.isComplete) {
            fleet.reachable.randomOrNull()?.let { fleet.send(it, ViewRequest(kind)) }
        }
    }

    private suspend fun relist() {
        val news =
            listed().getOrElse {
                delay(retryPause)
                return
            }
        publish(news)
    }

    private fun publish(news: ViewUpdate) {
        view.updated(news)?.let { accept(it, news.age) }
        fleet.broadcast(news)
    }

    private fun regained() {
        retryPause = FIRST_RETRY
        if (isAway) {
            isAway = false
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
        const val WATCHERS = 2
        val DUTY_INTERVAL = 200.milliseconds
        val FIRST_RETRY = 100.milliseconds
        val LONGEST_RETRY = 1.seconds
        val logger = LoggerFactory.getLogger(ViewSynchronizer::class.java)
    }
}
