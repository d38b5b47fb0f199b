package tanagerlane.runtime.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.configuration.ConfigurationCodec
import tanagerlane.configuration.ConfigurationState
import tanagerlane.configuration.ConfigurationStep
import tanagerlane.model.FailureDomain
import tanagerlane.model.Payload
import tanagerlane.model.Revision
import tanagerlane.store.Changes
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Instant

/**
 * Feeds a [ConfigurationState] from the store and by time.
 *
 * A watcher calls the store all the time, other processes only when their failure domain is silent. Calls overlap while
 * the store is slow, so evidence stays young as long as answers come within the bound.
 *
 * @param isWatcher whether this process is a watcher at present
 * @param onStep called with what follows from each event: messages to send, and a revision that came into force
 */
public class ConfigurationWatcher(
    private val store: ObjectStore,
    private val state: ConfigurationState,
    private val failureDomain: FailureDomain,
    private val now: () -> Instant,
    private val isWatcher: () -> Boolean,
    private val onStep: suspend (ConfigurationStep) -> Unit,
    private val settings: WatcherSettings = WatcherSettings(),
) {
    private val outstanding = AtomicInteger()

    @Volatile
    private var seen = Seen(ObjectVersion.NONE, null)

    /** Runs until it is cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch { tick() }
            launch { confirm() }
            while (true) {
                if (isDue()) {
                    launch { call() }
                }
                delay(settings.period)
            }
        }

    private fun isDue(): Boolean =
        outstanding.get() < settings.outstanding && (isWatcher() || state.shouldProbeStore(now()))

    private suspend fun tick() {
        while (true) {
            onStep(state.tick(now()))
            delay(settings.tick)
        }
    }

    private suspend fun call() {
        outstanding.incrementAndGet()
        try {
            watch()
        } finally {
            outstanding.decrementAndGet()
        }
    }

    private suspend fun watch(): Unit =
        coroutineScope {
            val from = seen
            val sentAt = now()
            val late =
                launch {
                    delay(settings.period + settings.answerBound)
                    failed()
                }
            val found = store.watch(ConfigurationObjects.CURRENT.path, from.version, settings.period)
            late.cancel()
            take(found, from, sentAt)
        }

    private suspend fun take(
        found: Result<Changes, StoreFailure>,
        from: Seen,
        sentAt: Instant,
    ) {
        val changes = found.getOrElse { return failed() }
        val content = changes.changes.firstOrNull { it.key == ConfigurationObjects.CURRENT }?.current
        if (content != null) {
            found(content.value, changes.at, sentAt)
        } else if (from.revision != null) {
            onStep(state.onStoreUnchanged(from.revision, sentAt, now()))
        }
    }

    private suspend fun found(
        content: Payload,
        at: ObjectVersion,
        sentAt: Instant,
    ) {
        val configuration =
            ConfigurationCodec.decode(content).getOrElse {
                logger.warn("stored configuration can't be read: {}", it)
                remember(Seen(at, null))
                return
            }
        remember(Seen(at, configuration.revision))
        onStep(state.onStoreRead(configuration, sentAt, now()))
    }

    private fun remember(found: Seen) {
        if (found.version > seen.version) {
            seen = found
        }
    }

    private suspend fun failed() {
        onStep(state.onStoreUnreachable(now()))
    }

    private suspend fun confirm() {
        var confirmed: Revision? = null
        while (true) {
            val held = state.current?.configuration?.revision
            if (isWatcher() && held != null && held != confirmed && confirm(held)) {
                confirmed = held
            }
            delay(settings.tick)
        }
    }

    /** Writes that this failure domain holds [revision]; false when it has to be tried again. */
    private suspend fun confirm(revision: Revision): Boolean {
        val key = ConfigurationObjects.confirmationOf(failureDomain)
        val stored = store.get(key)
        val written = stored.mapBoth(success = { it.value.toText().toLongOrNull() }, failure = { null })
        val isKnown = stored.isOk || stored.mapBoth({ false }, { it is StoreFailure.NotFound })
        return when {
            !isKnown -> false
            written != null && written >= revision.number -> true
            else -> store.put(key, Payload.of(revision.toString()), stored.get()?.version).isOk
        }
    }

    /** The version from which to watch and the revision that the store had there, if it could be read. */
    private class Seen(
        val version: ObjectVersion,
        val revision: Revision?,
    )

    private companion object {
        val logger = LoggerFactory.getLogger(ConfigurationWatcher::class.java)
    }
}
