package tanagerlane.quarantine

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.TargetName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Troubles of a simulated day.
 *
 * @property guiltyShare share of the requests from [QuarantineSimulation.GUILTY_TIME] whose prompt crashes targets
 * @property guiltyParts number of different parts that crash targets
 * @property areHeld whether refused requests with guilty parts are held and tried again, as batch items are
 * @property targetsAtOnce number of neighbouring targets that crash together
 * @property crashPause time from one such crash to the next
 * @property crashSpread time within which targets that crash together have crashed
 * @property restartPause time from the restart of one process to that of the next
 * @property freezePause time from the freeze of one process to that of the next
 * @property lossShare share of datagrams that are lost
 */
internal data class DayTroubles(
    val name: String,
    val guiltyShare: Double = 0.0,
    val guiltyParts: Int = 1,
    val areHeld: Boolean = false,
    val targetsAtOnce: Int = 1,
    val crashPause: Duration? = null,
    val crashSpread: Duration = 15.milliseconds,
    val restartPause: Duration? = null,
    val freezePause: Duration? = null,
    val lossShare: Double = 0.1,
)

/** What a simulated day has shown. */
internal class DayOutcome {
    val crashesByPrompts = ArrayList<Instant>()
    val otherCrashes = ArrayList<Instant>()

    /** Times at which requests with guilty parts first reached a target. */
    val guiltyReached = ArrayList<Instant>()

    /** Sound requests with the first part of those that crash targets: their times, and whether an answer was begun. */
    val related = ArrayList<Pair<Instant, Boolean>>()
    var soundSent = 0
    var soundRefused = 0
    val wrongParts = HashSet<PromptPart>()
}

/** Processes that send requests to targets in virtual time, each with its [PromptQuarantine]. */
internal class QuarantineSimulation(
    private val troubles: DayTroubles,
    seed: Int,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Step>(compareBy({ it.at }, { it.number }))
    private var steps = 0L
    private var now = START
    private val targets = List(TARGETS) { Target(TargetName("t$it")) }
    private val processes = List(PROCESSES) { Process(HostName("p$it")) }
    private val outcome = DayOutcome()

    fun run(): DayOutcome {
        processes.forEach { process -> after(REPORT_PAUSE * random.nextDouble()) { reportLoop(process) } }
        arrive()
        troubles.crashPause?.let { every(it) { crashNeighbours() } }
        troubles.restartPause?.let { every(it) { restart(processes.random(random)) } }
        troubles.freezePause?.let { every(it) { processes.random(random).frozenUntil = now + FREEZE_TIME } }
        while (true) {
            val step = queue.poll() ?: break
            if (step.at > END) {
                break
            }
            now = step.at
            step.action()
        }
        return outcome
    }

    private fun after(
        time: Duration,
        action: () -> Unit,
    ) {
        queue += Step(now + time, steps++, action)
    }

    private fun every(
        pause: Duration,
        action: () -> Unit,
    ) {
        after(pause) {
            action()
            every(pause, action)
        }
    }

    /** Runs [action] at [process], once it is no longer frozen and unless it has been restarted. */
    private fun at(
        process: Process,
        action: () -> Unit,
    ) {
        val incarnation = process.incarnation
        if (process.frozenUntil > now) {
            after(process.frozenUntil - now) { if (process.incarnation == incarnation) at(process, action) }
        } else {
            action()
        }
    }

    private fun arrive() {
        after((-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND).seconds) {
            val isGuilty = now in GUILTY_TIME && random.nextDouble() < troubles.guiltyShare
            val first = PromptPart("first${skewed(FIRST_PARTS)}")
            val second =
                PromptPart(if (isGuilty) "guilty${random.nextInt(troubles.guiltyParts)}" else "s${skewed(200)}")
            val third = PromptPart("r${skewed(1000)}").takeIf { random.nextInt(3) == 0 }
            val request = Request(listOfNotNull(first, second, third), isGuilty, now)
            if (!isGuilty) outcome.soundSent++
            send(request, processes.random(random))
            arrive()
        }
    }

    /** Returns a number below [size]; small ones are much more frequent. */
    private fun skewed(size: Int): Int {
        val even = random.nextDouble()
        return (even * even * even * size).toInt()
    }

    private fun send(
        request: Request,
        process: Process,
    ) {
        if (process.frozenUntil > now) {
            return finish(request, hasBegun = false)
        }
        process.quarantine.findQuarantined(request.parts, now)?.let {
            if (request.isGuilty && troubles.areHeld) {
                after(20.milliseconds) { send(request, process) }
            } else if (!request.isGuilty) {
                outcome.soundRefused++
                outcome.wrongParts += it.part
            }
            return finish(request, hasBegun = false)
        }
        val target =
            targets.filter { it.downUntil <= now && it !in request.tried }.randomOrNull(random)
                ?: return finish(request, hasBegun = false)
        if (request.isGuilty && request.tried.isEmpty()) {
            outcome.guiltyReached += now
        }
        request.tried += target
        val run = Run(request, process, process.incarnation)
        target.runs += run
        after(20.milliseconds + 60.milliseconds * random.nextDouble()) { if (run in target.runs) begin(run, target) }
    }

    private fun begin(
        run: Run,
        target: Target,
    ) {
        run.hasBegun = true
        if (run.request.isGuilty) {
            after(2.milliseconds) {
                if (run in target.runs) {
                    outcome.crashesByPrompts += now
                    crash(target)
                }
            }
            return
        }
        after(20.milliseconds + 150.milliseconds * random.nextDouble()) {
            if (target.runs.remove(run) && run.incarnation == run.process.incarnation) {
                at(run.process) { run.process.quarantine.answered(run.request.parts, now) }
                finish(run.request, hasBegun = true)
            }
        }
    }

    private fun finish(
        request: Request,
        hasBegun: Boolean,
    ) {
        if (!request.isGuilty && request.parts.first() == PromptPart("first0")) {
            outcome.related += request.at to hasBegun
        }
    }

    private fun crash(target: Target) {
        target.downUntil = now + DOWN_TIME
        val lost = target.runs.toList()
        target.runs.clear()
        for (run in lost) {
            after(15.milliseconds * random.nextDouble()) { at(run.process) { observe(run, target) } }
        }
    }

    private fun observe(
        run: Run,
        target: Target,
    ) {
        if (run.incarnation != run.process.incarnation) {
            return finish(run.request, hasBegun = false)
        }
        val lostAt = now
        if (target.downUntil > now) {
            after(5.milliseconds * random.nextDouble()) {
                at(run.process) {
                    val traits = RequestTraits(run.request.parts, request = null)
                    val stage = if (run.hasBegun) LossStage.BEGUN else LossStage.WAITING
                    run.process.quarantine.lost(target.name, traits, stage, sentAt = lostAt, now = lostAt)
                    report(run.process)
                }
            }
        }
        if (run.request.tried.size < ATTEMPTS) send(run.request, run.process) else finish(run.request, hasBegun = false)
    }

    private fun reportLoop(process: Process) {
        if (process.frozenUntil <= now) report(process)
        after(REPORT_PAUSE) { reportLoop(process) }
    }

    private fun report(process: Process) {
        if (process.quarantine.isEmpty) {
            return
        }
        val others = processes - process
        val reachable = others.filter { it.frozenUntil <= now }.mapTo(HashSet()) { it.host }
        for (message in process.quarantine.reports(reachable, now)) {
            for (receiver in others) {
                if (random.nextDouble() >= troubles.lossShare) {
                    after(1.milliseconds + 20.milliseconds * random.nextDouble()) {
                        at(receiver) { receiver.quarantine.received(message, now) }
                    }
                }
            }
        }
    }

    private fun crashNeighbours() {
        val first = random.nextInt(TARGETS)
        outcome.otherCrashes += now
        repeat(troubles.targetsAtOnce) {
            val target = targets[(first + it) % TARGETS]
            after(troubles.crashSpread * random.nextDouble()) { if (target.downUntil <= now) crash(target) }
        }
    }

    private fun restart(process: Process) {
        process.incarnation++
        process.quarantine = process.newQuarantine()
    }

    private class Step(
        val at: Instant,
        val number: Long,
        val action: () -> Unit,
    )

    private class Request(
        val parts: List<PromptPart>,
        val isGuilty: Boolean,
        val at: Instant,
    ) {
        val tried = ArrayList<Target>()
    }

    private class Run(
        val request: Request,
        val process: Process,
        val incarnation: Int,
    ) {
        var hasBegun = false
    }

    private class Target(
        val name: TargetName,
    ) {
        val runs = LinkedHashSet<Run>()
        var downUntil: Instant = START
    }

    private class Process(
        val host: HostName,
    ) {
        var incarnation = 1
        var frozenUntil: Instant = START
        var quarantine = newQuarantine()

        fun newQuarantine() = PromptQuarantine(host, Incarnation(incarnation.toLong()))
    }

    companion object {
        private val START = Instant.fromEpochSeconds(1_000_000)

        /** Time in which requests with guilty parts come. */
        val GUILTY_TIME = START + 4.seconds..START + 26.seconds
        private val END = START + 60.seconds
        private val REPORT_PAUSE = 100.milliseconds
        private val DOWN_TIME = 3200.milliseconds
        private val FREEZE_TIME = 3.seconds
        private const val TARGETS = 12
        private const val PROCESSES = 4
        private const val FIRST_PARTS = 5
        private const val ATTEMPTS = 2
        private const val REQUESTS_PER_SECOND = 40
    }
}
