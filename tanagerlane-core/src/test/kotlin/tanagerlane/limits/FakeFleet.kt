package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.Nonce
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.WorkspaceName
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Entries, one sidecar and the slots' store in virtual time.
 *
 * @property faults chance of a fault in each second
 * @property drift most by which a clock runs too fast or too slow, as a part of one
 */
internal class FakeFleet(
    seed: Int,
    private val faults: Double,
    private val drift: Double = 0.0,
    hostCount: Int = 3,
    val slotCount: Int = 4,
) {
    private val random = Random(seed)
    private val names = List(hostCount) { HostName("entry-$it") }
    private val store = FakeStore(slotCount)
    private val guard = ArrivalGuard(Incarnation(1), LimitTimes().permitValidity)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val entries = HashMap<HostName, FakeEntry>()
    private val cuts = HashSet<Set<HostName>>()
    private val storeCuts = HashSet<HostName>()
    private var order = 0L
    private var incarnations = 0L
    private var rate = Rate(perSecond = 20.0, burst = 10)
    val key: LimitKey = WorkspaceLimit(WorkspaceName("workspace"))
    val bound = RateBound(rate, fastestClock = 1.0 + drift)
    val ideal = SingleBucket(rate)
    var time = Duration.ZERO
        private set

    /** Times of the refusals by the present incarnations. */
    val refusals: List<Duration>
        get() = entries.values.flatMap { it.refusals }

    /** Runs with [load] requests a second that arrive at random entries, chosen by [weights]. */
    fun run(
        length: Duration,
        load: Double,
        weights: List<Int>,
    ) {
        names.forEach(::start)
        every(50.milliseconds) {
            entries.values.forEach { entry ->
                later(entry, Duration.ZERO) { entry.look(visible(entry)) }
            }
        }
        every(500.milliseconds) { entries.values.forEach { entry -> later(entry, Duration.ZERO) { entry.list() } } }
        every(200.milliseconds) { entries.values.forEach(::sendNonce) }
        every(1.seconds) { if (chance(faults)) fault() }
        every(1.seconds) { sendRequests(load * (if (faults > 0.0) INTENSITIES.random(random) else 1.0), weights) }
        while (events.isNotEmpty() && events.peek().at < length) {
            val event = events.poll()
            time = event.at
            event.action()
        }
    }

    /** Runs [action] on [entry] after [wait], or when its pause ends, unless it was killed. */
    fun later(
        entry: FakeEntry,
        wait: Duration,
        action: () -> Unit,
    ) {
        schedule(time + wait) {
            when {
                !entry.isAlive -> Unit
                entry.pausedUntil > time -> later(entry, entry.pausedUntil - time, action)
                else -> action()
            }
        }
    }

    fun onStore(
        entry: FakeEntry,
        action: (FakeStore) -> Unit,
    ) {
        schedule(time + delay()) { if (entry.host !in storeCuts) action(store) }
    }

    fun transmit(
        from: FakeEntry,
        outgoing: OutgoingMessage,
    ) {
        val copies = if (faults > 0.0) copies() else 1
        repeat(copies) {
            schedule(time + delay()) {
                val receiver = entries.getValue(outgoing.to)
                if (setOf(from.host, outgoing.to) !in cuts) {
                    later(receiver, Duration.ZERO) { receiver.receive(from.host, outgoing.message) }
                }
            }
        }
    }

    fun arrive(
        entry: FakeEntry,
        permit: Permit,
        nonce: Nonce?,
    ) {
        schedule(time + delay()) {
            if (nonce != null && guard.isTimely(nonce, sidecarTime())) {
                bound.arrived(time)
            }
            later(entry, delay()) { entry.settle(permit) }
        }
    }

    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Time on the network; sometimes long when there are faults. */
    fun delay(): Duration =
        if (faults > 0.0 &&
            chance(SLOW)
        ) {
            random.nextInt(6000).milliseconds
        } else {
            random.nextInt(500, 2000).microseconds
        }

    /** Time between a decision and its effect. */
    fun gap(): Duration = random.nextInt(200).microseconds

    /** Spreads the requests of the next second at random. */
    private fun sendRequests(
        count: Double,
        weights: List<Int>,
    ) {
        repeat(count.toInt()) {
            val name = names.flatMapIndexed { number, host -> List(weights[number]) { host } }.random(random)
            later(entries.getValue(name), random.nextDouble().seconds) {
                ideal.request(time)
                entries.getValue(name).request(key)
            }
        }
    }

    private fun copies(): Int =
        when {
            chance(LOSS) -> 0
            chance(DUPLICATE) -> 2
            else -> 1
        }

    private fun start(name: HostName) {
        incarnations += 1
        val speed = 1.0 + drift * random.nextDouble(-1.0, 1.0)
        val offset = Instant.fromEpochSeconds(random.nextLong(1_000_000))
        val entry = FakeEntry(name, Incarnation(incarnations), this, clock = { offset + it * speed })
        entries[name] = entry
        entry.configure(listOf(Limit(key, rate)))
        bound.applied(name, rate, time)
    }

    private fun fault() {
        val entry = entries.values.random(random)
        val length = random.nextInt(200, if (chance(0.5)) 4_000 else 25_000).milliseconds
        when (random.nextInt(7)) {
            0 -> entry.pausedUntil = maxOf(entry.pausedUntil, time + length)
            1 -> kill(entry, length)
            2 -> temporarily(length, { store.isDown = true }, { store.isDown = false })
            3 -> temporarily(length, { storeCuts += entry.host }, { storeCuts -= entry.host })
            4 -> setOf(entry.host, names.random(random)).let { temporarily(length, { cuts += it }, { cuts -= it }) }
            else -> reconfigure()
        }
    }

    private fun kill(
        entry: FakeEntry,
        length: Duration,
    ) {
        if (entry.isAlive) {
            entry.isAlive = false
            bound.stopped(entry.host, time)
            schedule(time + length) { start(entry.host) }
        }
    }

    private fun reconfigure() {
        rate = Rate(perSecond = random.nextInt(5, 40).toDouble(), burst = random.nextInt(1, 20))
        val newRate = rate
        for (entry in entries.values) {
            later(entry, random.nextInt(3000).milliseconds) {
                if (newRate == rate) {
                    entry.configure(listOf(Limit(key, newRate)))
                    bound.applied(entry.host, newRate, time)
                }
            }
        }
    }

    private fun sendNonce(entry: FakeEntry) {
        val nonce = guard.nonce(sidecarTime())
        schedule(time + delay()) { later(entry, Duration.ZERO) { entry.arrivalNonce = nonce } }
    }

    private fun visible(entry: FakeEntry): List<HostName> =
        names.filter { it != entry.host && entries.getValue(it).isAlive && setOf(it, entry.host) !in cuts }

    private fun temporarily(
        length: Duration,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        begin()
        schedule(time + length, end)
    }

    private fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        schedule(time + period) {
            action()
            every(period, action)
        }
    }

    private fun schedule(
        at: Duration,
        action: () -> Unit,
    ) {
        order += 1
        events += Event(at, order, action)
    }

    private fun sidecarTime(): Instant = Instant.fromEpochSeconds(0) + time

    private data class Event(
        val at: Duration,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        /** Factors of the load in one second; the quiet ones let buckets fill. */
        val INTENSITIES = listOf(0.0, 0.0, 0.2, 1.0, 3.0)
        const val LOSS = 0.01
        const val DUPLICATE = 0.02
        const val SLOW = 0.03
    }
}
