package tanagerlane.pace

import tanagerlane.message.PlaceReport
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RequestClass
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.Placement
import tanagerlane.serving.ServiceSettings
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Entries that send requests to targets in virtual time.
 *
 * A target that has recovered bears one request at first, and one more each 500 ms up to its places; further requests
 * fail. Reports take up to 150 ms, registrations up to 1,700 ms.
 */
internal class PaceSimulation(
    private val scene: PaceScene,
    seed: Int,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Step>(compareBy({ it.at }, { it.number }))
    private var steps = 0L
    private var now = START
    private val targets = List(scene.targets) { Target("t$it") }
    private val hosts = List(scene.entries + scene.runners) { PacedProcess(HostName("h$it"), it >= scene.entries) }
    private val processes = hosts.map { Process(it, START - 10.seconds) }.toMutableList()

    /** Requests to targets in their first 5 s after a recovery, and those of them that failed or were rejected. */
    var recovering = 0
    var recoveringFailed = 0
    var sent = 0
    var succeeded = 0
    var refused = 0

    /** Requests that were sent to a target while it was down. */
    var sentWhileDown = 0

    /** Largest number of requests that a cold target was sent within one second. */
    var mostWhileCold = 0

    fun run(): PaceSimulation {
        processes.indices.forEach { index -> after(PAUSE * random.nextDouble()) { tick(index) } }
        register()
        arrive()
        scene.down.forEach { (target, at) -> after(at) { takeDown(targets[target]) } }
        scene.coldAt.forEach { (target, at) -> after(at) { targets[target].coldUntil = now + COLD_TIME } }
        scene.restarts.forEach { at -> after(at) { restart(random.nextInt(processes.size)) } }
        while (true) {
            val step = queue.poll()?.takeIf { it.at <= START + scene.length } ?: return this
            now = step.at
            step.action()
        }
    }

    private fun after(
        time: Duration,
        action: () -> Unit,
    ) {
        queue += Step(now + time, steps++, action)
    }

    private fun tick(index: Int) {
        val sender = processes[index]
        val report =
            PlaceReport(
                sender.process.host,
                Incarnation(sender.startedAt.toEpochMilliseconds()),
                sender.sequence++,
                sender.balancer.report(),
                emptyList(),
                false,
                paces = sender.balancer.pace { report(now) },
            )
        for (receiver in processes) {
            if (receiver !== sender && !scene.isCut) {
                after(20.milliseconds * random.nextDouble()) {
                    receiver.balancer.received(sender.process.host, report, now)
                }
            }
        }
        if (sender.process.isRunner) send(sender, emptySet())
        after(PAUSE) { tick(index) }
    }

    private fun register() {
        val listed = targets.filter { it.isRegistered }.map { it.registration(now) }
        val delay = RELAY_TIME * random.nextDouble()
        processes.forEach { process ->
            after(delay) { if (listed.isNotEmpty()) process.balancer.configure(listed, now) }
        }
        after(REGISTRATION_PAUSE) { register() }
    }

    private fun takeDown(target: Target) {
        target.upAt = now + scene.downTime
        target.hasRecovered = true
        target.runs.toList().forEach { end(it, isFailure = true) }
        if (scene.isReplaced) {
            target.isRegistered = false
            after(scene.downTime) {
                target.name = "${target.name}x"
                target.coldUntil = now + COLD_TIME
                target.isRegistered = true
            }
        }
    }

    private fun restart(index: Int) {
        val process = Process(processes[index].process, now)
        process.balancer.configure(targets.filter { it.isRegistered }.map { it.registration(now) }, now)
        processes[index] = process
    }

    private fun arrive() {
        after((-ln(1 - random.nextDouble()) / scene.rate).seconds) {
            repeat(
                if (random.nextInt(50) ==
                    0
                ) {
                    BURST
                } else {
                    1
                },
            ) { send(processes[random.nextInt(scene.entries)], emptySet()) }
            arrive()
        }
    }

    private fun send(
        process: Process,
        tried: Set<TargetName>,
    ) {
        val choice =
            if (process.process.isRunner) {
                process.balancer.placeBatch(MODELS, now)
            } else {
                (process.balancer.place(MODELS, tried, now) as? Placement.At)?.target
            }
        if (choice == null) {
            val isCounted = now > FIRST_LISTED && process.process !in hosts.take(scene.faulty)
            if (isCounted && !process.process.isRunner) refused++
            return
        }
        process.balancer.started(choice.name, RequestClass.ONLINE)
        sent++
        val target = targets.firstOrNull { it.name == choice.name.text }
        val run = Run(process, choice.name, target, tried, now)
        target?.count(now)?.let { mostWhileCold = maxOf(mostWhileCold, it) }
        if (target?.isUp(now) != true || process.process in hosts.take(scene.faulty)) {
            sentWhileDown++
            after(2.milliseconds) { end(run, isFailure = true) }
        } else {
            run.isRecovering = target.hasRecovered && now - target.upAt < 5.seconds
            if (run.isRecovering) recovering++
            target.runs += run
            val isTooMuch = target.bears(now) < 8 && target.runs.size > target.bears(now)
            val firstAnswer =
                if (isTooMuch) {
                    5.milliseconds
                } else {
                    150.milliseconds +
                        100.milliseconds * random.nextDouble()
                }
            after(firstAnswer) {
                if (isTooMuch) {
                    end(run, isFailure = true)
                } else if (run in target.runs) {
                    process.balancer.pace { answered(choice.name, now - run.at, now) }
                    after(450.milliseconds) { end(run, isFailure = false) }
                }
            }
        }
    }

    private fun end(
        run: Run,
        isFailure: Boolean,
    ) {
        if (run.target?.runs?.remove(run) == false && !isFailure) return
        run.process.balancer.ended(run.name, RequestClass.ONLINE)
        if (!isFailure) {
            succeeded++
            return run.process.balancer.succeeded(run.name)
        }
        if (run.isRecovering) recoveringFailed++
        run.process.balancer.failed(run.name, now)
        if (run.tried.size < 2) send(run.process, run.tried + run.name)
    }

    private inner class Process(
        val process: PacedProcess,
        val startedAt: Instant,
    ) {
        var sequence = 1L
        val pace =
            TargetPace(process, startedAt, scene.pacing, { ServiceSettings(it, COLD_TIME, scene.coldRate) })
                .also { it.configureProcesses(hosts, startedAt) }
        val balancer = LoadBalancer(process.host, FailureDomain("a"), pacing = pace)
    }

    private class Run(
        val process: Process,
        val name: TargetName,
        val target: Target?,
        val tried: Set<TargetName>,
        val at: Instant,
    ) {
        var isRecovering = false
    }

    private class Target(
        var name: String,
    ) {
        val runs = LinkedHashSet<Run>()
        var upAt = START - 100.seconds
        var coldUntil = START
        var hasRecovered = false
        var isRegistered = true
        private val sentAt = ArrayDeque<Instant>()

        fun isUp(now: Instant) = now >= upAt

        fun bears(now: Instant): Int = minOf(8.0, 1 + (now - upAt) / 500.milliseconds).toInt()

        /** Counts a request; returns the number within the last second if this target is cold, otherwise 0. */
        fun count(now: Instant): Int {
            sentAt.addLast(now)
            while (now - sentAt.first() > 1.seconds) sentAt.removeFirst()
            return if (now < coldUntil) sentAt.size else 0
        }

        fun registration(now: Instant) =
            DirectTarget(
                TargetName(name),
                MODELS,
                "10.0.0.1:80",
                FailureDomain("a"),
                8,
                coldTime = (coldUntil - now).coerceAtLeast(Duration.ZERO),
            )
    }

    private class Step(
        val at: Instant,
        val number: Long,
        val action: () -> Unit,
    )

    private companion object {
        val MODELS = ServiceName("models")
        val START = Instant.fromEpochSeconds(1_000_000)

        /** Time from which on all processes know the targets. */
        val FIRST_LISTED = START + 1.seconds
        val COLD_TIME = 3.seconds
        val PAUSE = 150.milliseconds
        val REGISTRATION_PAUSE = 1200.milliseconds
        val RELAY_TIME = 500.milliseconds

        /** Requests that arrive at the same time now and then. */
        const val BURST = 10
    }
}
