package tanagerlane.admission

import tanagerlane.admission.ReplayFleet.DELIVERY
import tanagerlane.admission.ReplayFleet.HELD_VALUE
import tanagerlane.admission.ReplayFleet.INTERVAL
import tanagerlane.admission.ReplayFleet.LATE_VALUE
import tanagerlane.admission.ReplayFleet.LINK
import tanagerlane.admission.ReplayFleet.MEAN_SECONDS
import tanagerlane.admission.ReplayFleet.OBJECTIVE
import tanagerlane.admission.ReplayFleet.PLACES
import tanagerlane.admission.ReplayFleet.PRESENT_RETRY_AFTER
import tanagerlane.admission.ReplayFleet.REFUSED_AGAIN_VALUE
import tanagerlane.admission.ReplayFleet.SERVICE
import tanagerlane.admission.ReplayFleet.START
import tanagerlane.admission.ReplayFleet.TARGETS
import tanagerlane.admission.ReplayFleet.TARGET_QUEUE_SHARE
import tanagerlane.admission.ReplayFleet.TICK
import tanagerlane.admission.ReplayFleet.TIMEOUT
import tanagerlane.admission.ReplayFleet.targetOf
import tanagerlane.message.PlaceReport
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.places.LoadBalancer
import tanagerlane.places.LoadBalancerSettings
import tanagerlane.places.Placement
import tanagerlane.places.PlacementRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Replays a load in virtual time: entries with reports that are out of date, targets with places and short queues of
 * their own, and callers that retry once at another entry.
 */
internal class AdmissionSimulation(
    private val load: ReplayLoad,
    private val isWaiting: Boolean,
    seed: Int,
    private val settings: WaitingSettings = WaitingSettings(),
) {
    private val random = Random(seed)
    private val clock = ReplayClock(START)
    private val targets = (1..TARGETS).map { ReplayTarget(targetOf(it), clock, random) }.associateBy { it.target.name }
    private val queueShare = if (isWaiting) settings.targetQueueShare else TARGET_QUEUE_SHARE
    private val entries = (1..load.entries).map { SimulatedEntry(it) }
    private val now: Instant get() = clock.now
    private var requestCount = 0L

    val all = ReplayTally()
    val byWorkspace = HashMap<String, ReplayTally>()
    val byPriority = HashMap<Int, ReplayTally>()
    var sent = 0
        private set

    /** Requests that a target rejected because its queue was full. */
    var rejected = 0
        private set

    fun run(duration: Duration): AdmissionSimulation {
        entries.forEach { entry -> after(INTERVAL * random.nextDouble()) { entry.report() } }
        after(Duration.ZERO) { arrive(duration) }
        if (load.lostTargets > 0) after(load.lossAt) { loseTargets() }
        clock.run(duration + 6.seconds)
        return this
    }

    private fun loseTargets() {
        val lost = targets.values.filter { it.target.failureDomain.text == "d" }.take(load.lostTargets)
        lost.forEach { it.isLost = true }
        val left = targets.values.filterNot { it.isLost }.map { it.target }
        after(1.seconds) { entries.forEach { it.balancer.configure(left) } }
    }

    private fun arrive(duration: Duration) {
        val age = clock.age
        if (age > duration) return
        val perSecond = load.rate(age) * TARGETS * PLACES / MEAN_SECONDS
        after((-Math.log(1 - random.nextDouble()) / perSecond).seconds) { arrive(duration) }
        val hot = load.hotFactor(age)
        val draw = random.nextDouble() * (hot + ReplayLoad.WORKSPACES - 1)
        val workspace = if (draw < hot) 0 else 1 + (draw - hot).toInt()
        val priority = load.priorities[random.nextInt(load.priorities.size)]
        val tallies =
            listOf(
                all,
                byWorkspace.getOrPut("w$workspace") { ReplayTally() },
                byPriority.getOrPut(priority) { ReplayTally() },
            )
        val call = ReplayCall(WorkspaceName("w$workspace"), priority, tallies)
        chooseEntry(null).receive(Attempt(call, now + TIMEOUT, isRetry = false))
    }

    /** Entries have uneven shares of the traffic: that of the last is three times that of the first. */
    private fun chooseEntry(other: SimulatedEntry?): SimulatedEntry {
        while (true) {
            val entry = entries[random.nextInt(entries.size)]
            val weight = 1.0 / 3 + 2.0 / 3 * entry.number / entries.size
            if (random.nextDouble() < weight && (entry !== other || entries.size == 1)) return entry
        }
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ): Unit = clock.after(delay, action)

    private inner class Attempt(
        val call: ReplayCall,
        val deadline: Instant,
        val isRetry: Boolean,
    ) {
        val tried = HashSet<TargetName>()
        var rejections = 0
        val request =
            WaitingRequest(
                number = requestCount++,
                service = SERVICE,
                route = "route-${call.priority}",
                workspace = call.workspace,
                weight = 1.0,
                priority = call.priority,
                arrivedAt = now,
                objective = OBJECTIVE,
                deadline = deadline,
                bytes = 1000,
                mayBeRetry = isRetry,
            )

        fun begun() {
            val isInTime = now - request.arrivedAt <= OBJECTIVE
            when {
                now > deadline -> Unit
                isInTime && !isRetry -> call.add(1.0) { it.inTime++ }
                isInTime -> call.add((1 + LATE_VALUE) / 2) { it.retried++ }
                else -> call.add(LATE_VALUE) { it.late++ }
            }
        }

        fun refused(
            entry: SimulatedEntry,
            retryAfter: Duration,
        ) {
            val held = now - request.arrivedAt
            if (held > (deadline - request.arrivedAt) / 2) return call.add(-1.0) { it.refusedLate++ }
            if (isRetry) return call.add(REFUSED_AGAIN_VALUE) { it.refusedAgain++ }
            val isPrompt = held <= OBJECTIVE / 4
            call.add(if (isPrompt) 0.0 else HELD_VALUE) { if (isPrompt) it.refusedPromptly++ else it.refusedLate++ }
            val pause = minOf(retryAfter, (deadline - now) / 3)
            after(pause) { chooseEntry(entry).receive(Attempt(call, deadline, isRetry = true)) }
        }
    }

    private inner class SimulatedEntry(
        val number: Int,
    ) {
        val host = HostName("entry-$number")
        val balancer =
            LoadBalancer(host, FailureDomain("${"abcd"[number % 4]}"), LoadBalancerSettings(queueShare = queueShare))
                .apply { configure(targets.values.map { it.target }) }
        private val queue = WaitingRequests(settings, Random(number))
        private val finder = PlaceFinder(balancer, settings)
        private val attempts = HashMap<Long, Attempt>()
        private var isTicking = false

        fun report() {
            val report =
                PlaceReport(
                    host = host,
                    incarnation = Incarnation(1),
                    sequence = 1,
                    places = balancer.report(),
                    admissions = emptyList(),
                    leaving = false,
                    waiting = queue.report(),
                )
            val others = entries.filter { it !== this }
            after(DELIVERY) {
                others.forEach {
                    it.balancer.received(host, report, now)
                    it.queue.received(host, report.waiting, now)
                }
            }
            after(INTERVAL) { report() }
        }

        fun receive(attempt: Attempt) {
            queue.arrived(attempt.request, now)
            if (!isWaiting) {
                val placement = balancer.place(SERVICE, attempt.tried, now)
                if (placement is Placement.At) send(attempt, placement) else attempt.refused(this, PRESENT_RETRY_AFTER)
            } else {
                find(attempt)
            }
        }

        private fun place(attempt: Attempt): Placement.At? =
            finder.find(PlacementRequest(SERVICE, attempt.tried), now) as? Placement.At

        private fun find(attempt: Attempt) {
            if (queue.mayPass(attempt.request, ::free, now)) {
                place(attempt)?.let { return send(attempt, it) }
            }
            attempts[attempt.request.number] = attempt
            val added = queue.add(attempt.request, now)
            if (added is WaitingDecision.Refused) return refuse(added)
            pump()
            if (attempt.request.number in attempts) {
                (queue.decide(attempt.request, now) as? WaitingDecision.Refused)?.let(::refuse)
            }
            if (!isTicking && queue.size > 0) {
                isTicking = true
                after(TICK, ::tick)
            }
        }

        private fun free() = finder.free(SERVICE, now)

        private fun tick() {
            queue.expired(now).forEach(::refuse)
            pump()
            isTicking = queue.size > 0
            if (isTicking) after(TICK, ::tick)
        }

        private fun refuse(refused: WaitingDecision.Refused) {
            attempts.remove(refused.request.number)?.refused(this, refused.retryAfter)
        }

        private fun pump() {
            while (true) {
                val request = queue.next(SERVICE, ::free, now) ?: return
                val attempt = attempts.getValue(request.number)
                val placement = place(attempt) ?: return
                val target = placement.target
                if (queue.isLate(request) && finder.isBusy(target.name, target.places, now)) return
                attempts.remove(request.number)
                send(attempt, placement)
            }
        }

        private fun send(
            attempt: Attempt,
            placement: Placement.At,
        ) {
            val target = targets.getValue(placement.target.name)
            attempt.tried += target.target.name
            finder.sent(target.target.name)
            queue.sent(attempt.request, now)
            sent++
            val request =
                ReplayTarget.Request(
                    onBegun = attempt::begun,
                    onEnded = { ended(attempt, target.target.name, it) },
                    onRejected = { rejected(attempt, target.target.name, it) },
                )
            after(LINK) { target.receive(request) }
        }

        private fun ended(
            attempt: Attempt,
            target: TargetName,
            isTypical: Boolean,
            isRejected: Boolean = false,
        ) {
            if (isRejected) finder.rejected(target, now) else finder.ended(target, isTypical, now)
            queue.ended(attempt.request, isTypical, now)
            if (isWaiting) pump()
        }

        private fun rejected(
            attempt: Attempt,
            target: TargetName,
            isFailure: Boolean,
        ) {
            ended(attempt, target, isTypical = false, isRejected = !isFailure)
            if (isFailure) balancer.failed(target, now) else rejected++
            if (++attempt.rejections >= 4) return attempt.refused(this, PRESENT_RETRY_AFTER)
            if (isWaiting) return find(attempt)
            val placement = balancer.place(SERVICE, attempt.tried, now)
            if (placement is Placement.At) send(attempt, placement) else attempt.refused(this, PRESENT_RETRY_AFTER)
        }
    }
}
