package tanagerlane.resumption

import tanagerlane.message.HostRole
import tanagerlane.message.OriginReply
import tanagerlane.message.StreamOrigin
import tanagerlane.model.FailureDomain
import tanagerlane.model.RequestId
import tanagerlane.places.DirectTarget
import tanagerlane.quarantine.VirtualTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Callers that take up broken streams at entries in virtual time, each process with its own [OriginDirectory]. */
internal class ResumptionSimulation(
    private val troubles: ResumptionTroubles,
    private val seed: Int,
) {
    private val random = Random(seed)
    private val time = VirtualTime(START)
    private val now: Instant get() = time.now
    private var nextChange = START + FIRST_CHANGE
    private val outcome = ResumptionOutcome()
    private val fleet = SimulatedFleet(troubles, time, random, outcome)
    private val targets = SimulatedTargets(fleet, random, troubles.areAddressesKept, ::targetLost)

    fun run(): ResumptionOutcome {
        fleet.start(targets.first(), isNew = seed % 2 == 0)
        time.every(1.seconds / troubles.streamsPerSecond) { begin() }
        time.every(CRASH_PAUSE) { targets.crash() }
        if (troubles.group == null) {
            time.after(FIRST_CHANGE + CHANGE_SPREAD * random.nextDouble()) {
                targets.release()
                time.every(CHANGE_PAUSE) { change() }
            }
        }
        time.after(FIRST_KILL) { time.every(troubles.killPause) { kill() } }
        if (troubles.staleFor > Duration.ZERO) {
            time.every(troubles.staleFor + STALE_PAUSE) {
                fleet.processes.filter { it.isRunning }.randomOrNull(random)?.beStale(
                    troubles.staleFor,
                    troubles.isCut,
                )
            }
        }
        troubles.group?.let { time.after(GROUP_PAUSE) { disturb(it, 0) } }
        time.runUntil(START + troubles.length)
        return outcome
    }

    private fun change(): Unit = if (random.nextBoolean()) targets.release() else targets.tryVersion()

    /** Lets a group get out of step again and again, at times shortly before the versions change. */
    private fun disturb(
        trouble: GroupTrouble,
        turn: Int,
    ) {
        if (now >= nextChange) {
            nextChange = now + CHANGE_PAUSE
            time.after(CHANGE_DELAY * random.nextDouble()) { change() }
        }
        val length = ResumptionTroubles.GROUP_TIMES[turn % ResumptionTroubles.GROUP_TIMES.size]
        fleet.disturb(trouble, length)
        time.after(length + GROUP_PAUSE) { disturb(trouble, turn + 1) }
    }

    private fun begin() {
        val stream =
            SimulatedStream(
                outcome.streams,
                now,
                STREAM_TIME * (HALF + random.nextDouble()),
                isNamed = random.nextInt(UNNAMED_DIVISOR) > 0,
            )
        val entry = fleet.entries.filterNot { it.isFrozen }.randomOrNull(random) ?: return
        outcome.streams++
        if (serve(stream, entry, null)) outcome.begun++
    }

    /** Sends [stream] to a target that [entry] sees; returns false if there is none. */
    private fun serve(
        stream: SimulatedStream,
        entry: SimulatedProcess,
        origin: StreamOrigin?,
    ): Boolean {
        val permitted = entry.view.targets.filter { !it.leaving && mayContinue(entry, origin, it) }
        val seen = permitted.shuffled(random).take(ATTEMPTS).firstOrNull { targets.at(it.address) != null }
        val target = seen?.let { targets.at(it.address) } ?: return false
        val run = SimulatedRun(stream, entry, target, origin, now)
        entry.runs += run
        target.runs += run
        time.after(FIRST_EVENT_TIME) { if (!run.isOver) write(run, seen) }
        time.after(FIRST_EVENT_TIME + stream.remaining) { if (!run.isOver) end(run) }
        return true
    }

    private fun mayContinue(
        entry: SimulatedProcess,
        origin: StreamOrigin?,
        target: DirectTarget,
    ): Boolean = origin == null || (target.version == origin.version && !entry.directory.isDoubtful(origin))

    private fun write(
        run: SimulatedRun,
        seen: DirectTarget,
    ) {
        val stream = run.stream
        if (run.origin == null) {
            val attempt = RequestId("a${stream.number}-${time.steps}")
            run.origin = StreamOrigin(attempt, seen.service, seen.version, seen.name)
            run.entry.began(attempt, seen)
            stream.attempt = attempt
        }
        if (stream.versions.add(run.target.version) && stream.versions.size == 2) {
            val times = "begun at ${stream.startedAt - START}, joined at ${now - START}"
            val place = "at ${run.entry.host}, take-up ${stream.takeUps}, listed ${seen.version}, origin ${run.origin}"
            outcome.joined += "seed $seed: ${stream.versions} $times $place"
        }
    }

    private fun end(run: SimulatedRun) {
        run.isOver = true
        run.entry.runs -= run
        run.target.runs -= run
        run.stream.remaining = maxOf(run.stream.remaining - (now - run.startedAt), MINIMUM_REST)
    }

    private fun targetLost(runs: List<SimulatedRun>) {
        for (run in runs) {
            end(run)
            time.after(LOSS_NOTICED_TIME) {
                run.entry.whenAwake {
                    val goOn = {
                        if (!run.entry.isRunning || !serve(run.stream, run.entry, run.origin)) takeUp(run.stream)
                    }
                    if (run.origin == null) goOn() else run.entry.confirm { goOn() }
                }
            }
        }
    }

    private fun kill() {
        val entries = fleet.entries.shuffled(random)
        val domain = FailureDomain("d${random.nextInt(DOMAINS)}")
        val killed =
            when (troubles.kill) {
                Kill.ONE_ENTRY -> entries.take(1)
                Kill.SOME_ENTRIES -> entries.take(troubles.entries * SOME_PERCENT / HUNDRED)
                Kill.ALL_ENTRIES -> entries
                Kill.ALL_PROCESSES -> fleet.processes.filter { it.isRunning }
                Kill.FAILURE_DOMAIN -> fleet.processes.filter { it.isRunning && it.domain == domain }
            }
        for (process in killed) {
            fleet.kill(process)
            for (run in process.runs.toList()) {
                end(run)
                takeUp(run.stream)
            }
        }
    }

    private fun takeUp(stream: SimulatedStream) {
        time.after(MINIMUM_CALLER_PAUSE + CALLER_PAUSE_SPREAD * random.nextDouble()) {
            if (stream.takeUps < TAKE_UPS && now - stream.startedAt <= CALLER_TIME) {
                fleet.entries.randomOrNull(random)?.let { it.whenAwake { takeUp(stream, it) } } ?: takeUp(stream)
            }
        }
    }

    private fun takeUp(
        stream: SimulatedStream,
        entry: SimulatedProcess,
    ) {
        stream.takeUps++
        if (stream.attempt == null) serve(stream, entry, null) else resume(stream, entry)
    }

    private fun resume(
        stream: SimulatedStream,
        entry: SimulatedProcess,
    ) {
        val attempt = stream.attempt?.takeIf { stream.isNamed }
        val service = SimulatedTargets.SERVICE
        if (attempt != null && entry.directory.find(attempt, now) != null) {
            confirm(stream, entry, Replies(null, now))
        } else {
            val askedAt = now
            entry.ask(attempt, service) { replies -> confirm(stream, entry, Replies(replies, askedAt)) }
        }
    }

    private fun confirm(
        stream: SimulatedStream,
        entry: SimulatedProcess,
        replies: Replies,
    ) {
        val attempt = stream.attempt?.takeIf { stream.isNamed }
        val known = replies.replies.orEmpty()
        val decideOrLeave = { isConfirmed: Boolean ->
            if (entry.isRunning) decide(stream, entry, replies, isConfirmed) else takeUp(stream)
        }
        val isOfUse = entry.directory.needsConfirmation(attempt, SimulatedTargets.SERVICE, known, now)
        if (entry.isRunning && !replies.isIsolated && isOfUse) {
            entry.confirm { isConfirmed ->
                if (isConfirmed) entry.readMissing(known) { decideOrLeave(true) } else decideOrLeave(false)
            }
        } else {
            decideOrLeave(false)
        }
    }

    private fun decide(
        stream: SimulatedStream,
        entry: SimulatedProcess,
        replies: Replies?,
        isConfirmed: Boolean = false,
    ) {
        val attempt = stream.attempt?.takeIf { stream.isNamed }
        val service = SimulatedTargets.SERVICE
        val isIsolated = replies?.isIsolated ?: false
        val known = replies?.replies.orEmpty()
        val askedAt = replies?.askedAt ?: now
        val resumption = entry.directory.resolve(attempt, service, known, isConfirmed, now, isIsolated, askedAt)
        val isPossible = targets.running(stream.versions.first()) > 1 && now - entry.startedAt >= SETTLED_TIME
        val isContinued = resumption is Resumption.At && serve(stream, entry, resumption.origin)
        outcome.takeUps++
        if (resumption !is Resumption.At) outcome.unknown++
        if (isPossible) outcome.possible++
        if (isPossible && isContinued) outcome.continued++
        if (isPossible && entry.isOutOfStep) outcome.possibleOutOfStep++
        if (isPossible && isContinued && entry.isOutOfStep) outcome.continuedOutOfStep++
    }

    /** What other processes have replied, or null without any that could be asked. */
    private class Replies(
        val replies: Collection<OriginReply>?,
        val askedAt: Instant,
    ) {
        val isIsolated: Boolean get() = replies?.isEmpty() ?: false
    }

    private companion object {
        val START = Instant.fromEpochSeconds(1_000_000)
        const val DOMAINS = 3
        const val HUNDRED = 100
        const val SOME_PERCENT = 40
        const val ATTEMPTS = 3
        const val TAKE_UPS = 3
        const val HALF = 0.5

        /** One caller in this many does not name the attempt that it resumes. */
        const val UNNAMED_DIVISOR = 10
        val STREAM_TIME = 700.milliseconds
        val FIRST_EVENT_TIME = 30.milliseconds
        val MINIMUM_REST = 50.milliseconds
        val LOSS_NOTICED_TIME = 5.milliseconds
        val MINIMUM_CALLER_PAUSE = 20.milliseconds
        val CALLER_PAUSE_SPREAD = 280.milliseconds

        /** Time from the first attempt within which callers take a stream up. */
        val CALLER_TIME = 5.seconds

        /** Time from its start after which an entry is expected to know its peers. */
        val SETTLED_TIME = 3.seconds
        val FIRST_KILL = 8.seconds
        val CRASH_PAUSE = 700.milliseconds
        val FIRST_CHANGE = 12.seconds
        val CHANGE_SPREAD = 4.seconds

        /** Leaves times between changes at which there has been one version for as long as streams last. */
        val CHANGE_PAUSE = 18.seconds
        val STALE_PAUSE = 1.seconds
        val GROUP_PAUSE = 1.seconds
        val CHANGE_DELAY = 500.milliseconds
    }
}
