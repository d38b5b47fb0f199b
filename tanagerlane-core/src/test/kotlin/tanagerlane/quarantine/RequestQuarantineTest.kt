package tanagerlane.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RequestQuarantineTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val deadly = RequestDigest("deadly")

        fun quarantine(host: String = "a") = PromptQuarantine(HostName(host), Incarnation(1))

        /** An event of the request at [at], in milliseconds: a crash of [target], or a whole answer. */
        data class Event(
            val at: Int,
            val target: String? = null,
            val sent: Int = at - 10,
            val stage: LossStage = LossStage.BEGUN,
        )

        fun PromptQuarantine.apply(event: Event) {
            val now = start + event.at.milliseconds
            if (event.target == null) {
                completed(deadly, now)
            } else {
                val traits = RequestTraits(emptyList(), deadly)
                lost(TargetName(event.target), traits, event.stage, start + event.sent.milliseconds, now)
            }
        }

        val oneComing = listOf(Event(0, "t1"), Event(57, "t2"), Event(141, "t3"))

        data class Case(
            val name: String,
            val events: List<Event>,
            val crashes: Int?,
            val isSuspected: Boolean,
            val at: Duration = 1.seconds,
        )
        listOf(
            Case("one crash proves nothing", oneComing.take(1), crashes = null, isSuspected = false),
            Case("two crashes make a request suspected", oneComing.take(2), crashes = null, isSuspected = true),
            Case("a request is quarantined after three crashes", oneComing, crashes = 3, isSuspected = true),
            Case(
                "crashes in the middle of an answer count",
                oneComing.map { it.copy(stage = LossStage.STREAMING) },
                crashes = 3,
                isSuspected = true,
            ),
            Case(
                "crashes before the answer count",
                oneComing.map { it.copy(stage = LossStage.WAITING) },
                crashes = 3,
                isSuspected = true,
            ),
            Case(
                "a request that was under way at targets that fail together is not at fault",
                listOf(Event(0, "t1", sent = -30), Event(40, "t2", sent = -40), Event(90, "t3", sent = -35)),
                crashes = null,
                isSuspected = false,
            ),
            Case(
                "a request is not at fault for crashes that a busy observer sees late",
                listOf(Event(0, "t1", sent = -30), Event(900, "t2", sent = -30), Event(2000, "t3", sent = -30)),
                crashes = null,
                isSuspected = false,
                at = 2.seconds,
            ),
            Case(
                "a request that is sent from one target of a failing domain to the next is not at fault",
                listOf(Event(0, "t1"), Event(15, "t2", sent = 1), Event(45, "t3", sent = 16)),
                crashes = null,
                isSuspected = true,
            ),
            Case(
                "crashes count though the clocks of the observers differ by the transit of a report",
                listOf(Event(0, "t1"), Event(57, "t2", sent = -15), Event(141, "t3", sent = 40)),
                crashes = 3,
                isSuspected = true,
            ),
            Case(
                "crashes while the request was under way elsewhere do not hide those that followed one another",
                oneComing + listOf(Event(58, "t4", sent = -40), Event(142, "t5", sent = -40)),
                crashes = 3,
                isSuspected = true,
            ),
            Case(
                "runs that are lost in the same crash count once",
                listOf(Event(0, "t1"), Event(57, "t2"), Event(300, "t2", sent = 60)),
                crashes = null,
                isSuspected = true,
            ),
            Case(
                "a whole answer since the first crash is evidence against it",
                listOf(Event(0, "t1"), Event(30), Event(57, "t2"), Event(141, "t3")),
                crashes = null,
                isSuspected = true,
            ),
            Case(
                "a whole answer withdraws the verdict",
                oneComing + Event(500),
                crashes = null,
                isSuspected = false,
            ),
            Case(
                "a whole answer before the first crash is no evidence against it",
                listOf(Event(-100)) + oneComing,
                crashes = 3,
                isSuspected = true,
            ),
            Case("a quarantine lasts for its term", oneComing, crashes = 3, isSuspected = true, at = 60.seconds),
            Case("a quarantine ends after its term", oneComing, crashes = null, isSuspected = true, at = 61.seconds),
            Case(
                "one further crash quarantines a request for a longer term",
                oneComing + Event(62_000, "t4"),
                crashes = 4,
                isSuspected = true,
                at = 300.seconds,
            ),
            Case(
                "evidence is forgotten when it is too old",
                oneComing.take(2) + Event(180_000, "t3"),
                crashes = null,
                isSuspected = false,
                at = 3.minutes,
            ),
        ).forEach { case ->
            test(case.name) {
                val quarantine = quarantine()
                case.events.forEach { quarantine.apply(it) }
                val now = start + case.at
                quarantine.findQuarantined(deadly, now)?.crashes shouldBe case.crashes
                quarantine.isSuspected(deadly) shouldBe case.isSuspected
                quarantine.findQuarantined(RequestDigest("other"), now) shouldBe null
            }
        }

        test("requests have to be identified only while there is evidence about one") {
            val quarantine = quarantine()
            val seen = ArrayList<Boolean>()
            seen += quarantine.hasRequestEvidence
            quarantine.lost(
                TargetName("t1"),
                RequestTraits(listOf(PromptPart("p")), null),
                LossStage.BEGUN,
                start,
                start,
            )
            seen += quarantine.hasRequestEvidence
            quarantine.apply(Event(10, "t1"))
            seen += quarantine.hasRequestEvidence
            quarantine.apply(Event(20))
            seen += quarantine.hasRequestEvidence
            seen shouldBe listOf(false, false, true, false)
        }

        test("crashes in the middle of answers are no evidence about parts of prompts") {
            val quarantine = quarantine()
            val part = PromptPart("part")
            listOf(0, 400, 800).forEach {
                val now = start + it.milliseconds
                val traits = RequestTraits(listOf(part), RequestDigest("r$it"))
                quarantine.lost(TargetName("t$it"), traits, LossStage.STREAMING, now - 10.milliseconds, now)
            }
            quarantine.findQuarantined(listOf(part), start + 1.seconds) shouldBe null
        }

        fun exchange(
            quarantines: List<Pair<HostName, PromptQuarantine>>,
            now: Instant,
            transit: Duration = 5.milliseconds,
        ) {
            for ((host, sender) in quarantines) {
                val others = quarantines.filter { it.first != host }
                for (report in sender.reports(others.mapTo(HashSet()) { it.first }, now)) {
                    others.forEach { it.second.received(report, now + transit) }
                }
            }
        }

        fun processes(vararg names: String) = names.map { HostName(it) to quarantine(it) }

        test("a verdict from crashes that different processes saw is in force at all of them") {
            val processes = processes("a", "b", "c")
            oneComing.forEachIndexed { index, crash ->
                processes[minOf(index, 1)].second.apply(crash)
                exchange(processes, start + crash.at.milliseconds)
            }
            processes.map { it.second.findQuarantined(deadly, start + 1.seconds)?.crashes } shouldBe List(3) { 3 }
        }

        test("a crash that seems late because its report was delayed counts once a report comes in time") {
            val (observer, other) = listOf(quarantine("a"), quarantine("b"))
            oneComing.take(2).forEach { observer.apply(it) }
            val reportAt = start + 60.milliseconds
            observer.reports(emptySet(), reportAt).forEach { other.received(it, reportAt + 800.milliseconds) }
            val repeatedAt = start + 900.milliseconds
            observer.reports(emptySet(), repeatedAt).forEach { other.received(it, repeatedAt + 1.milliseconds) }
            other.apply(Event(141, "t3", sent = 75))
            other.findQuarantined(deadly, start + 1.seconds)?.crashes shouldBe 3
        }

        data class LateCase(
            val name: String,
            val crashes: List<Event>,
            val isSuspected: Boolean,
            val isQuarantined: Boolean,
        )
        listOf(
            LateCase("nothing of a single crash", oneComing.take(1), isSuspected = false, isQuarantined = false),
            LateCase("of a suspected request", oneComing.take(2), isSuspected = true, isQuarantined = false),
            LateCase("of a verdict", oneComing, isSuspected = true, isQuarantined = true),
        ).forEach { case ->
            test("a process that starts late learns ${case.name}, also if the observer is gone") {
                val processes = processes("a", "b", "c")
                case.crashes.forEach { processes[0].second.apply(it) }
                exchange(processes, start + 200.milliseconds)
                val late = quarantine("d")
                val rest = processes.drop(1) + (HostName("d") to late)
                repeat(20) { exchange(rest, start + 10.seconds + 100.milliseconds * it) }
                late.isSuspected(deadly) shouldBe case.isSuspected
                (late.findQuarantined(deadly, start + 13.seconds) != null) shouldBe case.isQuarantined
            }
        }

        test("a whole answer that one process saw withdraws the verdict at all of them") {
            val processes = processes("a", "b", "c")
            oneComing.forEach { processes[0].second.apply(it) }
            exchange(processes, start + 200.milliseconds)
            processes[1].second.apply(Event(300))
            repeat(20) { exchange(processes, start + 400.milliseconds + 100.milliseconds * it) }
            processes.map { it.second.findQuarantined(deadly, start + 3.seconds) } shouldBe List(3) { null }
        }

        test("a whole answer counts against evidence that arrives after it") {
            val processes = processes("a", "b")
            oneComing.forEach { processes[0].second.apply(it) }
            processes[1].second.apply(Event(300))
            repeat(2) { exchange(processes, start + 400.milliseconds + 100.milliseconds * it) }
            processes.map { it.second.findQuarantined(deadly, start + 1.seconds) } shouldBe List(2) { null }
        }

        test("a process that has missed the report of an answer learns of it when it repeats the evidence") {
            val (observer, witness) = listOf(quarantine("a"), quarantine("b"))
            oneComing.forEach { observer.apply(it) }
            observer.reports(emptySet(), start + 200.milliseconds).forEach {
                witness.received(it, start + 200.milliseconds)
            }
            witness.apply(Event(300))
            repeat(20) { witness.reports(emptySet(), start + 400.milliseconds + 100.milliseconds * it) }
            val processes = listOf(HostName("a") to observer, HostName("b") to witness)
            repeat(40) { exchange(processes, start + 3.seconds + 100.milliseconds * it) }
            observer.findQuarantined(deadly, start + 8.seconds) shouldBe null
        }

        test("evidence about a request that was answered since is not reported") {
            val quarantine = quarantine()
            quarantine.apply(Event(0, "t1", stage = LossStage.STREAMING))
            quarantine.apply(Event(20))
            quarantine.reports(emptySet(), start + 30.milliseconds).flatMap { it.evidence } shouldBe emptyList()
        }

        test("processes do not keep evidence alive by reporting it to each other") {
            val processes = processes("a", "b", "c")
            oneComing.forEach { processes[0].second.apply(it) }
            repeat(2000) { exchange(processes, start + 200.milliseconds + 100.milliseconds * it) }
            processes.map { it.second.isEmpty } shouldBe List(3) { true }
        }

        test("a verdict outlasts the loss of many other requests, whose number is bounded") {
            val quarantine = quarantine()
            oneComing.forEach { quarantine.apply(it) }
            val now = start + 2.seconds
            repeat(2000) {
                val traits = RequestTraits(emptyList(), RequestDigest("sound$it"))
                quarantine.lost(TargetName("domain-${it % 50}"), traits, LossStage.STREAMING, now - 1.seconds, now)
            }
            quarantine.findQuarantined(deadly, now)?.crashes shouldBe 3
            quarantine.reports(emptySet(), now).sumOf { it.evidence.size } shouldBeLessThanOrEqual 256
        }
    })
