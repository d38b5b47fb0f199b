package tanagerlane.resumption

import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.places.DirectTarget
import tanagerlane.quarantine.VirtualTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What the store lists; states are [number]ed in their order. */
internal class StoredState(
    val number: Int,
    val targets: List<DirectTarget>,
    val members: List<Member>,
)

/** Processes that see the store with delays and exchange datagrams. */
internal class SimulatedFleet(
    private val troubles: ResumptionTroubles,
    private val time: VirtualTime,
    private val random: Random,
    val outcome: ResumptionOutcome,
) {
    private val byHost = HashMap<HostName, SimulatedProcess>()
    private var queries = 0L
    private var hosts = 0
    private val history = ArrayList<StoredState>()
    private var outOfStep: OutOfStep? = null
    val now: Instant get() = time.now
    val processes = ArrayList<SimulatedProcess>()
    val entries: List<SimulatedProcess> get() = processes.filter { it.role == HostRole.ENTRY && it.isRunning }

    var stored = StoredState(0, emptyList(), emptyList())
        private set

    /** Starts all processes with [targets] in service; if [isNew], none was in service before. */
    fun start(
        targets: List<DirectTarget>,
        isNew: Boolean,
    ) {
        repeat(troubles.entries) { processes += process(HostRole.ENTRY, it) }
        repeat(troubles.runners) { processes += process(HostRole.BATCH, it) }
        stored = StoredState(1, targets, processes.map { it.member() })
        history += stored
        // Only the process that registers first finds no other one registered.
        if (isNew) {
            processes
                .random(random)
                .directory.versions
                .assumeNothingBefore()
        }
        processes.forEach { it.see(stored) }
        time.every(OBSERVE_PAUSE) {
            processes.filter { !it.isFrozen }.forEach {
                it.observe()
                it.learnVersions()
            }
        }
    }

    /** Returns the states that were stored after that of [number], up to the latest one. */
    fun statesAfter(number: Int): List<StoredState> =
        if (number <
            0
        ) {
            emptyList()
        } else {
            history.subList(number, history.size)
        }

    /** Stores a change, which each process sees with its own delay. */
    fun publish(
        targets: List<DirectTarget> = stored.targets,
        members: List<Member> = stored.members,
    ) {
        val state = StoredState(stored.number + 1, targets, members)
        stored = state
        history += state
        processes.forEach { after(MAXIMUM_VIEW_DELAY * random.nextDouble()) { it.see(state) } }
    }

    /** Kills [process], which starts again later; half of those do so under another host name. */
    fun kill(process: SimulatedProcess) {
        process.killedAt = now
        after(RESTART_TIME * (1 + random.nextDouble())) {
            val host = if (random.nextBoolean()) process.host else nextHost(process.role)
            val started = SimulatedProcess(this, host, process.role, process.domain, now)
            processes[processes.indexOf(process)] = started
            byHost[host] = started
            started.see(stored)
            publish(members = stored.members.filter { it.host != host } + started.member())
            if (host != process.host) {
                after(LOST_TIMEOUT) { publish(members = stored.members.filter { it.host != process.host }) }
            }
        }
    }

    fun send(
        from: SimulatedProcess,
        to: HostName,
        deliver: (SimulatedProcess) -> Unit,
    ) {
        if (from.isCut || random.nextDouble() < troubles.lossShare) {
            return
        }
        after(1.milliseconds + MAXIMUM_LATENCY * random.nextDouble()) {
            byHost[to]?.takeIf { it.isRunning && !isSevered(from, it) }?.let { it.whenAwake { deliver(it) } }
        }
    }

    /** Lets a group of processes get out of step as [trouble] tells for [length]. */
    fun disturb(
        trouble: GroupTrouble,
        length: Duration,
    ) {
        val group = OutOfStep.draw(trouble, processes.filter { it.isRunning }, random)
        outOfStep = group
        group.members.forEach { if (group.areFrozen) it.freeze(length) else it.beStale(length, cut = false) }
        after(length) { outOfStep = null }
    }

    private fun isSevered(
        from: SimulatedProcess,
        to: SimulatedProcess,
    ): Boolean = to.isCut || outOfStep?.severs(from, to) ?: false

    /** Returns whether [observer] has lately heard [host]. */
    fun isReachable(
        host: HostName,
        observer: SimulatedProcess,
    ): Boolean {
        val process = byHost.getValue(host)
        val isHeard = process.killedAt?.let { now - it < SILENCE_TIME } ?: !isSevered(process, observer)
        return isHeard && !observer.isCut && !process.isCut &&
            now - maxOf(observer.startedAt, process.startedAt) > CONTACT_TIME
    }

    /** Returns up to [count] processes that [observer] has lately heard. */
    fun someReachable(
        observer: SimulatedProcess,
        count: Int,
    ): List<HostName> =
        processes
            .filter { it != observer && it.isRunning && isReachable(it.host, observer) }
            .shuffled(random)
            .take(count)
            .map { it.host }

    fun nextQuery(): Long = ++queries

    fun after(
        pause: Duration,
        action: () -> Unit,
    ): Unit = time.after(pause, action)

    private fun process(
        role: HostRole,
        index: Int,
    ): SimulatedProcess {
        val host = nextHost(role)
        return SimulatedProcess(this, host, role, FailureDomain("d${index % DOMAINS}"), now).also { byHost[host] = it }
    }

    private fun nextHost(role: HostRole) = HostName("${role.name.lowercase()}-${hosts++}")

    companion object {
        private const val DOMAINS = 3
        private val OBSERVE_PAUSE = 500.milliseconds

        /** Longest time after which a process sees a change of the store. */
        val MAXIMUM_VIEW_DELAY = 1500.milliseconds
        private val MAXIMUM_LATENCY = 4.milliseconds
        private val RESTART_TIME = 1.seconds
        private val LOST_TIMEOUT = 12.seconds
        private val SILENCE_TIME = 500.milliseconds
        private val CONTACT_TIME = 300.milliseconds
    }
}
