package tanagerlane.pace

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.PaceDecision
import tanagerlane.places.TargetLoad
import tanagerlane.places.TargetLoads
import tanagerlane.serving.ServiceSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class DeclaredLimitTest :
    FunSpec({
        // Guards against shares that grow when a process does not know others that still send.
        test("processes that start, stop and are cut off at random stay under the bound") {
            val most = (1..40).map { GreedyFleet(Random(it)).mostInOneSecond() }
            println("greedy processes: most $most")
            most.max() shouldBeLessThanOrEqual 39
            // The bound is used, so that a limit that refuses everything does not pass.
            most.min() shouldBeGreaterThanOrEqual 30
        }

        // Guards against a registration that ends or prolongs the limit by an unusable cold time.
        data class Case(
            val name: String,
            val coldTimes: List<Duration?>,
            val service: ServiceSettings,
            val expected: Duration,
        )
        val cold = ServiceSettings(SERVICE, 3.seconds, 23.0)
        listOf(
            Case("told", listOf(2.seconds), cold, 2300.milliseconds),
            Case("zero", listOf(Duration.ZERO), cold, Duration.ZERO),
            Case("negative", listOf((-5).seconds), cold, Duration.ZERO),
            Case("longer than the service says", listOf(900.days), cold, 3300.milliseconds),
            Case("infinite", listOf(Duration.INFINITE), cold, 3300.milliseconds),
            Case("missing at first", listOf(null), cold, 3300.milliseconds),
            Case("missing after a reading", listOf(2.seconds, null), cold, 2300.milliseconds),
            Case("cold again", listOf(Duration.ZERO, 3.seconds), cold, 3300.milliseconds),
            Case("missing, and none for the service", listOf(null), cold.copy(coldTime = null), 10300.milliseconds),
            Case("service without a rate", listOf(2.seconds), cold.copy(coldRate = null), Duration.ZERO),
        ).forEach { case ->
            test("cold time: ${case.name}") {
                val pace = TargetPace(PacedProcess(HostName("h0"), false), START, false, { case.service })
                case.coldTimes.forEach { pace.configure(listOf(target(it)), START) }
                pace.states(START).single().coldTime shouldBe case.expected
            }
        }

        // Guards against a rate that is tiny, huge or not finite ending in an exception or in no limit at all.
        listOf(null to 100, 1e-300 to 4, 1e300 to 100, Double.POSITIVE_INFINITY to 100).forEach { (rate, expected) ->
            test("requests to a sound target in one second at a rate of $rate") {
                val settings = ServiceSettings(SERVICE, 3.seconds, rate)
                val pace = TargetPace(PacedProcess(HostName("h0"), false), START - 9.seconds, false, { settings })
                val target = target(Duration.ZERO).also { pace.configure(listOf(it), START) }
                val sent =
                    (1..100).count {
                        val isAdmitted = pace.admission(target, NoLoads, START) < PaceDecision.FORBIDDEN
                        if (isAdmitted) pace.sent(target.name, START)
                        isAdmitted
                    }
                sent shouldBe expected
            }
        }
    })

private val SERVICE = ServiceName("models")
private val START = Instant.fromEpochSeconds(1_000_000)

private fun target(coldTime: Duration?) =
    DirectTarget(TargetName("t"), SERVICE, "10.0.0.1:80", FailureDomain("a"), 8, coldTime = coldTime)

private object NoLoads : TargetLoads {
    override fun ofAll(
        target: TargetName,
        now: Instant,
    ) = TargetLoad(0, 0)

    override fun own(target: TargetName) = 0
}

/**
 * 22 entries and 12 runners that send to one target whenever they may, while it turns cold again and again.
 *
 * Processes stop and start again, deregister or not, and are cut off from the list of processes and of targets.
 */
private class GreedyFleet(
    private val random: Random,
) {
    private val hosts = List(34) { PacedProcess(HostName("h$it"), isRunner = it >= 22) }
    private val registered = hosts.toMutableSet()
    private val processes = hosts.associateWithTo(HashMap<PacedProcess, TargetPace?>()) { start(it, START - 9.seconds) }
    private val cutUntil = HashMap<PacedProcess, Instant>()
    private val removeAt = HashMap<PacedProcess, Instant>()

    fun mostInOneSecond(): Int {
        val sentAt = ArrayDeque<Instant>()
        var most = 0
        var now = START
        var coldUntil = START
        repeat(4000) {
            now += 10.milliseconds
            if (random.nextInt(400) == 0) coldUntil = now + 3.seconds
            if (random.nextInt(40) == 0) change(hosts.random(random), now)
            removeAt.filterValues { it <= now }.keys.toList().forEach {
                removeAt -= it
                if (processes[it] == null || cutUntil.getOrDefault(it, START) > now) registered -= it
            }
            for ((process, pace) in processes) {
                if (pace == null) continue
                if (cutUntil.getOrDefault(process, START) <= now) {
                    registered += process
                    if (random.nextInt(50) == 0) update(pace, now, coldUntil)
                }
                while (pace.admission(target(null), NoLoads, now) < PaceDecision.FORBIDDEN) {
                    pace.sent(TargetName("t"), now)
                    sentAt.addLast(now)
                }
            }
            while (sentAt.isNotEmpty() && now - sentAt.first() >= 1.seconds) sentAt.removeFirst()
            most = maxOf(most, sentAt.size)
        }
        return most
    }

    private fun change(
        process: PacedProcess,
        now: Instant,
    ) {
        when {
            processes[process] == null -> processes[process] = start(process, now)
            random.nextBoolean() -> cutUntil[process] = now + 30.seconds * random.nextDouble()
            else -> processes[process] = null
        }
        removeAt[process] = now + if (random.nextBoolean()) Duration.ZERO else 12.seconds
    }

    private fun start(
        process: PacedProcess,
        now: Instant,
    ) = TargetPace(process, now, false, { ServiceSettings(it, 3.seconds, 23.0) }).also { update(it, now, now) }

    private fun update(
        pace: TargetPace,
        now: Instant,
        coldUntil: Instant,
    ) {
        pace.configureProcesses(registered.toSet(), now)
        pace.configure(listOf(target((coldUntil - now).coerceAtLeast(Duration.ZERO))), now)
    }
}
