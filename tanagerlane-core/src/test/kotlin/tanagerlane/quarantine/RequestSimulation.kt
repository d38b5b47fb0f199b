package tanagerlane.quarantine

import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Entries that send requests without prompts to targets in virtual time, each with its [PromptQuarantine].
 *
 * An entry makes two attempts; its caller then sends the request to another entry at once.
 */
internal class RequestSimulation(
    private val troubles: RequestTroubles,
    seed: Int,
) {
    private val random = Random(seed)
    private val time = VirtualTime(START)
    private val now: Instant get() = time.now
    private val targets =
        List(troubles.services * troubles.targetsPerService) {
            Target(TargetName("t$it"), it / troubles.targetsPerService)
        }
    private val entries = List(troubles.entries) { Entry(HostName("e$it")) }
    private val requestPause = 1.seconds / (REQUESTS_PER_SECOND + troubles.entries * REQUESTS_OF_ENTRY)
    private val outcome = RequestOutcome()

    fun run(): RequestOutcome {
        entries.forEach { entry -> after(REPORT_PAUSE * random.nextDouble()) { reportLoop(entry) } }
        arrive(requestPause, ::nextSound)
        troubles.deadlyPause?.let { after(DEADLY_TIME) { arrive(it) { Request(DEADLY, DEADLY.text, service = 0) } } }
        troubles.crashPause?.let { time.every(it) { crashNeighbours() } }
        troubles.restartPause?.let { time.every(it) { restart(entries.random(random)) } }
        troubles.freezePause?.let { time.every(it) { entries.random(random).frozenUntil = now + FREEZE_TIME } }
        time.runUntil(START + troubles.length)
        return outcome
    }

    private fun after(
        time: Duration,
        action: () -> Unit,
    ): Unit = this.time.after(time, action)

    /** Runs [action] at [entry], once it is no longer frozen and unless it has been restarted. */
    private fun at(
        entry: Entry,
        action: () -> Unit,
    ) {
        val incarnation = entry.incarnation
        if (entry.frozenUntil > now) {
            after(entry.frozenUntil - now) { if (entry.incarnation == incarnation) at(entry, action) }
        } else {
            action()
        }
    }

    private fun within(time: Duration): Duration = time * random.nextDouble()

    private fun arrive(
        pause: Duration,
        next: () -> Request,
    ) {
        after(pause * -ln(1 - random.nextDouble())) {
            val request = next()
            if (!request.isDeadly) outcome.soundSent++
            call(request, entries.random(random), isRetry = false)
            arrive(pause, next)
        }
    }

    /** Returns a request that is a fifth, a hundredth or none of the others. */
    private fun nextSound(): Request {
        val number = random.nextInt(HUNDRED)
        return when {
            number < OFTEN_PERCENT -> Request(RequestDigest("often"), "often", service = 0)
            number < OFTEN_PERCENT + SOMETIMES -> Request(RequestDigest("$number"), "some", number % troubles.services)
            else -> Request(RequestDigest("once${time.steps}"), "once", random.nextInt(troubles.services))
        }
    }

    private fun call(
        request: Request,
        entry: Entry,
        isRetry: Boolean,
    ) {
        val call = Call(request, entry, entry.incarnation, isRetry)
        if (entry.downUntil > now) sendElsewhere(call) else at(entry) { attempt(call) }
    }

    /** The caller of a failed request sends it to another entry, once. */
    private fun sendElsewhere(call: Call) {
        if (!call.isRetry) {
            val others = entries - call.entry
            after(within(CALLER_PAUSE)) { call(call.request, others.random(random), isRetry = true) }
        }
    }

    private fun attempt(call: Call) {
        val request = call.request
        if (call.entry.quarantine.findQuarantined(request.digest, now) != null) {
            if (request.isDeadly) outcome.deadlyRefused++ else outcome.soundRefused.merge(request.kind, 1, Int::plus)
            return
        }
        val target =
            targets
                .filter { it.service == request.service && it.downUntil <= now && it !in call.tried }
                .randomOrNull(random) ?: return
        call.tried += target
        val run = Run(call, sentAt = now)
        target.runs += run
        if (request.isDeadly) {
            outcome.deadlySent += now
            after(MINIMUM_CRASH_TIME + within(CRASH_TIME_SPREAD)) {
                if (run in target.runs) {
                    outcome.deadlyCrashes += now
                    crash(target)
                }
            }
        } else {
            after(answerTime()) { if (target.runs.remove(run)) at(call.entry) { complete(call) } }
        }
    }

    private fun answerTime(): Duration =
        if (random.nextInt(STREAM_DIVISOR) ==
            0
        ) {
            1.seconds + within(3.seconds)
        } else {
            40.milliseconds + within(210.milliseconds)
        }

    private fun complete(call: Call) {
        if (call.isServed && (call.isIdentified || call.entry.quarantine.hasRequestEvidence)) {
            call.entry.quarantine.completed(call.request.digest, now)
        }
    }

    private fun crash(target: Target) {
        target.downUntil = now + DOWN_TIME
        val lost = target.runs.toList()
        target.runs.clear()
        for (run in lost) {
            after(within(troubles.observerDelay)) { at(run.call.entry) { observe(run, target) } }
        }
    }

    private fun observe(
        run: Run,
        target: Target,
    ) {
        val call = run.call
        if (!call.isServed) {
            return sendElsewhere(call)
        }
        val lostAt = now
        call.isIdentified = true
        after(if (random.nextInt(LATE_CHECK_DIVISOR) == 0) LATE_CHECK_TIME else within(CHECK_TIME)) {
            at(call.entry) {
                if (call.isServed) {
                    val traits = RequestTraits(emptyList(), call.request.digest)
                    call.entry.quarantine.lost(target.name, traits, LossStage.WAITING, run.sentAt, lostAt)
                    report(call.entry)
                }
            }
        }
        val isLast = call.tried.size >= ATTEMPTS || call.entry.quarantine.isSuspected(call.request.digest)
        if (isLast) sendElsewhere(call) else attempt(call)
    }

    private fun reportLoop(entry: Entry) {
        if (entry.isReachable()) report(entry)
        after(REPORT_PAUSE) { reportLoop(entry) }
    }

    private fun Entry.isReachable(): Boolean = frozenUntil <= now && downUntil <= now

    private fun report(entry: Entry) {
        if (entry.quarantine.isEmpty) {
            return
        }
        val others = entries - entry
        val reachable = others.filter { it.isReachable() }.mapTo(HashSet()) { it.host }
        for (message in entry.quarantine.reports(reachable, now)) {
            for (receiver in others) {
                if (receiver.downUntil <= now && random.nextDouble() >= troubles.lossShare) {
                    after(1.milliseconds + within(20.milliseconds)) {
                        at(receiver) { receiver.quarantine.received(message, now) }
                    }
                }
            }
        }
    }

    private fun crashNeighbours() {
        val count = troubles.targetsAtOnce
        val isService = count == troubles.targetsPerService
        val first = if (isService) random.nextInt(troubles.services) * count else random.nextInt(targets.size)
        outcome.otherCrashes++
        repeat(count) {
            val target = targets[(first + it) % targets.size]
            after(within(troubles.crashSpread)) { if (target.downUntil <= now) crash(target) }
        }
    }

    private fun restart(entry: Entry) {
        entry.incarnation++
        entry.quarantine = entry.newQuarantine()
        entry.downUntil = now + RESTART_TIME
        after(RESTART_TIME) { (entries - entry).filter { it.isReachable() }.forEach { introduce(entry, it) } }
    }

    private fun introduce(
        started: Entry,
        sender: Entry,
    ) {
        val reachable = (entries - sender).filter { it.isReachable() }.mapTo(HashSet()) { it.host }
        for (message in sender.quarantine.reportsFor(started.host, reachable, now)) {
            if (random.nextDouble() >= troubles.lossShare) {
                after(1.milliseconds + within(20.milliseconds)) {
                    at(started) { started.quarantine.received(message, now) }
                }
            }
        }
    }

    private class Request(
        val digest: RequestDigest,
        val kind: String,
        val service: Int,
    ) {
        val isDeadly = digest == DEADLY
    }

    /** A request that has come to [entry]; [isRetry] is whether another entry had it before. */
    private class Call(
        val request: Request,
        val entry: Entry,
        val incarnation: Int,
        val isRetry: Boolean,
    ) {
        val tried = ArrayList<Target>()
        var isIdentified = false
        val isServed: Boolean get() = entry.incarnation == incarnation
    }

    private class Run(
        val call: Call,
        val sentAt: Instant,
    )

    private class Target(
        val name: TargetName,
        val service: Int,
    ) {
        val runs = LinkedHashSet<Run>()
        var downUntil: Instant = START
    }

    private class Entry(
        val host: HostName,
    ) {
        var incarnation = 1
        var frozenUntil: Instant = START
        var downUntil: Instant = START
        var quarantine = newQuarantine()

        fun newQuarantine() = PromptQuarantine(host, Incarnation(incarnation.toLong()))
    }

    private companion object {
        val START = Instant.fromEpochSeconds(1_000_000)
        val DEADLY = RequestDigest("deadly")

        /** Time from the start of the day at which the deadly request begins to come. */
        val DEADLY_TIME = 4.seconds
        val MINIMUM_CRASH_TIME = 30.milliseconds
        val CRASH_TIME_SPREAD = 55.milliseconds
        val CALLER_PAUSE = 5.milliseconds
        val REPORT_PAUSE = 100.milliseconds
        val DOWN_TIME = 3200.milliseconds
        val FREEZE_TIME = 3.seconds
        val RESTART_TIME = 1.seconds

        /** Time within which the check ends whether a target has crashed, and of a check that has to be repeated. */
        val CHECK_TIME = 5.milliseconds
        val LATE_CHECK_TIME = 50.milliseconds
        const val LATE_CHECK_DIVISOR = 5

        /** One answer in this many takes seconds. */
        const val STREAM_DIVISOR = 10
        const val HUNDRED = 100
        const val OFTEN_PERCENT = 20

        /** Number of requests that are a hundredth of all requests each. */
        const val SOMETIMES = 5
        const val ATTEMPTS = 2
        const val REQUESTS_PER_SECOND = 40
        const val REQUESTS_OF_ENTRY = 0.5
    }
}
