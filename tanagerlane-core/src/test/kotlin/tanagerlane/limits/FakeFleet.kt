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
 * Simulates entries, one sidecar and the store of the slots in virtual time.
 *
 * @property faultRate probability of a fault in each second
 * @property drift maximum clock drift in either direction, as a fraction (0.01 is 1 %)
 */
internal class FakeFleet(
    seed: Int,
    private val faultRate: Double,
    private val drift: Double = 0.0,
    hostCount: Int = 3,
    val slotCount: Int = 4,
) {
    private val random = Random(seed)
    private val hosts = List(hostCount) { HostName("entry-$it") }
    private val store = FakeStore(slotCount)
    private val guard = ArrivalGuard(Incarnation(1), LimitTimes().permitValidity)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val entries = HashMap<HostName, FakeEntry>()
    private val cutLinks = HashSet<Set<HostName>>()
    private val cutStoreLinks = HashSet<HostName>()
    private var order = 0L
    private var incarnations = 0L
    private var rate = Rate(perSecond = 20.0, burst = 10)
    val key: LimitKey = WorkspaceLimit(WorkspaceName("workspace"))
    val bound = RateBound(rate, fastestClockSpeed = 1.0 + drift)
    val reference = SingleBucket(rate)
    var time = Duration.ZERO
        private set

    /** Times of the refusals by the current incarnations of all entries. */
    val refusals: List<Duration>
        get() = entries.values.flatMap { it.refusals }

    /** Runs for [length] with [load] requests a second, which arrive at random entries weighted by [weights]. */
    fun run(
        length: Duration,
        load: Double,
        weights: List<Int>,
    ) {
        hosts.forEach(::start)
        every(50.milliseconds) {
            entries.values.forEach { entry ->
                runLater(entry, Duration.ZERO) { entry.runPass(reachable(entry)) }
            }
        }
        every(500.milliseconds) { entries.values.forEach { entry -> runLater(entry, Duration.ZERO) { entry.list() } } }
        every(200.milliseconds) { entries.values.forEach(::sendNonce) }
        every(1.seconds) { if (chance(faultRate)) injectFault() }
        every(1.seconds) { sendRequests(load * (if (faultRate > 0.0) INTENSITIES.random(random) else 1.0), weights) }
        while (events.isNotEmpty() && events.peek().at < length) {
            val event = events.poll()
            time = event.at
            event.action()
        }
    }

    /** Runs [action] on [entry] after [wait], or when its pause ends, unless it was killed. */
    fun runLater(
        entry: FakeEntry,
        wait: Duration,
        action: () -> Unit,
    ) {
        schedule(time + wait) {
            when {
                !entry.isAlive -> Unit
                entry.pausedUntil > time -> runLater(entry, entry.pausedUntil - time, action)
                else -> action()
            }
        }
    }

    fun onStore(
        entry: FakeEntry,
        action: (FakeStore) -> Unit,
    ) {
        schedule(time + networkDelay()) { if (entry.host !in cutStoreLinks) action(store) }
    }

    fun transmit(
        from: FakeEntry,
        outgoing: OutgoingMessage,
    ) {
        val copies = if (faultRate > 0.0) copies() else 1
        repeat(copies) {
            schedule(time + networkDelay()) {
                val receiver = entries.getValue(outgoing.to)
                if (setOf(from.host, outgoing.to) !in cutLinks) {
                    runLater(receiver, Duration.ZERO) { receiver.receive(from.host, outgoing.message) }
                }
            }
        }
    }

    fun arrive(
        entry: FakeEntry,
        permit: Permit,
        nonce: Nonce?,
    ) {
        schedule(time + networkDelay()) {
            if (nonce != null && guard.isTimely(nonce, sidecarTime())) {
                bound.arrived(time)
            }
            runLater(entry, networkDelay()) { entry.settle(permit) }
        }
    }

    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Network delay; occasionally long if faults are enabled. */
    fun networkDelay(): Duration =
        if (faultRate > 0.0 &&
            chance(SLOW)
        ) {
            random.nextInt(6000).milliseconds
        } else {
            random.nextInt(500, 2000).microseconds
        }

    /** Delay between a decision and its effect. */
    fun processingDelay(): Duration = random.nextInt(200).microseconds

    /** Distributes the requests of the next second at random over time and entries. */
    private fun sendRequests(
        count: Double,
        weights: List<Int>,
    ) {
        repeat(count.toInt()) {
            val name = hosts.flatMapIndexed { number, host -> List(weights[number]) { host } }.random(random)
            runLater(entries.getValue(name), random.nextDouble().seconds) {
                reference.request(time)
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

    private fun injectFault() {
        val entry = entries.values.random(random)
        val length = random.nextInt(200, if (chance(0.5)) 4_000 else 25_000).milliseconds
        when (random.nextInt(7)) {
            0 -> entry.pausedUntil = maxOf(entry.pausedUntil, time + length)
            1 -> kill(entry, length)
            2 -> during(length, { store.isDown = true }, { store.isDown = false })
            3 -> during(length, { cutStoreLinks += entry.host }, { cutStoreLinks -= entry.host })
            4 -> setOf(entry.host, hosts.random(random)).let { during(length, { cutLinks += it }, { cutLinks -= it }) }
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
            runLater(entry, random.nextInt(3000).milliseconds) {
                if (newRate == rate) {
                    entry.configure(listOf(Limit(key, newRate)))
                    bound.applied(entry.host, newRate, time)
                }
            }
        }
    }

    private fun sendNonce(entry: FakeEntry) {
        val nonce = guard.nonce(sidecarTime())
        schedule(time + networkDelay()) { runLater(entry, Duration.ZERO) { entry.arrivalNonce = nonce } }
    }

    private fun reachable(entry: FakeEntry): List<HostName> =
        hosts.filter { it != entry.host && entries.getValue(it).isAlive && setOf(it, entry.host) !in cutLinks }

    private fun during(
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
        /** Factors applied to the load of one second; the low ones let the buckets fill up. */
        val INTENSITIES = listOf(0.0, 0.0, 0.2, 1.0, 3.0)
        const val LOSS = 0.01
        const val DUPLICATE = 0.02
        const val SLOW = 0.03
    }
}
