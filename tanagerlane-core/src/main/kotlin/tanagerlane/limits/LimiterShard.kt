package tanagerlane.limits

import tanagerlane.message.LimitKey
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Instant

/** Limiters of the keys of one shard, guarded by one lock. */
internal class LimiterShard(
    private val settings: LimiterSettings,
) {
    private val lock = ReentrantLock()
    private val keys = HashMap<LimitKey, KeyLimiter>()
    private var slots = emptyList<HeldSlot>()
    private var view = FleetView(hosts = setOf(settings.host), holders = emptySet())

    /** Runs [action] on the limiter of [key] and returns its result, or null if the key was never configured. */
    fun <T> withKey(
        key: LimitKey,
        action: KeyLimiter.() -> T,
    ): T? = lock.withLock { keys[key]?.action() }

    fun forEachKey(action: KeyLimiter.() -> Unit) {
        lock.withLock { keys.values.forEach(action) }
    }

    /** Replaces the rates of this shard; a key that is no longer listed gets no tokens. */
    fun configure(
        limits: Map<LimitKey, Rate>,
        now: Instant,
    ) {
        lock.withLock {
            limits.keys.forEach { keys.getOrPut(it) { create(it, now) } }
            keys.forEach { (key, limiter) -> limiter.configure(limits[key] ?: Rate.NONE, now) }
        }
    }

    fun changeSlots(
        held: List<HeldSlot>,
        now: Instant,
    ) {
        lock.withLock {
            slots = held
            keys.values.forEach { it.changeSlots(held, now) }
        }
    }

    fun changeView(newView: FleetView) {
        lock.withLock {
            view = newView
            keys.values.forEach { it.changeView(newView) }
        }
    }

    private fun create(
        key: LimitKey,
        now: Instant,
    ): KeyLimiter {
        val limiter = KeyLimiter(key, settings, now)
        limiter.changeSlots(slots, now)
        limiter.changeView(view)
        return limiter
    }
}
