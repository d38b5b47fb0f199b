package tanagerlane.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PromptQuarantineTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val (first, deadly, other) = listOf("first", "deadly", "other").map(::PromptPart)

        fun quarantine(host: String = "entry-1") = PromptQuarantine(HostName(host), Incarnation(1))

        data class Event(
            val at: Duration,
            val parts: List<PromptPart>,
            val crashed: String? = null,
            val hasBegun: Boolean = true,
        )

        fun crash(
            at: Duration,
            target: String,
            vararg parts: String,
        ) = Event(at, parts.map(::PromptPart), target)

        fun waiting(
            at: Duration,
            target: String,
            vararg parts: String,
        ) = Event(at, parts.map(::PromptPart), target, hasBegun = false)

        fun answer(
            at: Duration,
            vararg parts: String,
        ) = Event(at, parts.map(::PromptPart))

        fun PromptQuarantine.apply(event: Event) {
            val now = start + event.at
            if (event.crashed == null) {
                answered(event.parts, now)
            } else {
                lost(event.crashed, event.parts, event.hasBegun, now)
            }
        }

        data class Case(
            val name: String,
            val events: List<Event>,
            val quarantined: Set<PromptPart>,
            val at: Duration = 2.seconds,
        )
        listOf(
            Case("one crash proves nothing", listOf(crash(0.seconds, "t1", "deadly")), emptySet()),
            Case(
                "a part is quarantined after two targets crashed that had begun to answer with it",
                listOf(crash(0.seconds, "t1", "first", "deadly"), crash(1.seconds, "t2", "other", "deadly")),
                setOf(deadly),
            ),
            Case(
                "requests lost in the same crash count once",
                listOf(crash(0.seconds, "t1", "deadly"), crash(20.milliseconds, "t1", "deadly")),
                emptySet(),
            ),
            Case(
                "a part with which an answer was written since the crashes is not quarantined",
                listOf(
                    crash(0.seconds, "t1", "first", "deadly"),
                    crash(1.seconds, "t2", "first", "deadly"),
                    answer(1100.milliseconds, "deadly", "other"),
                ),
                setOf(first),
            ),
            Case(
                "an answer that was written before a crash is no evidence against it",
                listOf(
                    answer(0.seconds, "deadly"),
                    crash(1.seconds, "t1", "deadly"),
                    answer(1.seconds, "deadly"),
                    crash(1500.milliseconds, "t2", "deadly"),
                    crash(1900.milliseconds, "t3", "deadly"),
                ),
                setOf(deadly),
            ),
            Case(
                "two crashes do not suffice against a part with which an answer was written before",
                listOf(
                    answer(0.seconds, "deadly"),
                    crash(1.seconds, "t1", "deadly"),
                    crash(1500.milliseconds, "t2", "deadly"),
                ),
                emptySet(),
            ),
            Case(
                "targets that fail together prove nothing about a part with which an answer was written before",
                listOf(
                    answer(0.seconds, "deadly"),
                    crash(1.seconds, "t1", "deadly"),
                    crash(1010.milliseconds, "t2", "deadly"),
                    crash(1015.milliseconds, "t3", "deadly"),
                ),
                emptySet(),
            ),
            Case(
                "of two parts that always come together, the later one is quarantined",
                listOf(crash(0.seconds, "t1", "first", "deadly"), crash(1.seconds, "t2", "first", "deadly")),
                setOf(deadly),
            ),
            Case(
                "a waiting request is not at fault if the target had begun to answer another one",
                listOf(
                    crash(0.seconds, "t1", "deadly"),
                    waiting(0.seconds, "t1", "other"),
                    crash(500.milliseconds, "t2", "deadly"),
                    waiting(500.milliseconds, "t2", "other"),
                    crash(1.seconds, "t3", "deadly"),
                    waiting(1.seconds, "t3", "other"),
                ),
                setOf(deadly),
            ),
            Case(
                "two crashes with a waiting request prove nothing",
                listOf(waiting(0.seconds, "t1", "deadly"), waiting(1.seconds, "t2", "deadly")),
                emptySet(),
            ),
            Case(
                "three crashes with a waiting request suffice",
                listOf(
                    waiting(0.seconds, "t1", "deadly"),
                    waiting(500.milliseconds, "t2", "deadly"),
                    waiting(1.seconds, "t3", "deadly"),
                ),
                setOf(deadly),
            ),
            Case(
                "targets that fail together prove nothing about waiting requests",
                listOf(
                    waiting(0.seconds, "t1", "deadly"),
                    waiting(1.milliseconds, "t2", "deadly"),
                    waiting(5.milliseconds, "t3", "deadly"),
                ),
                emptySet(),
            ),
            Case(
                "a quarantine ends after its term",
                listOf(crash(0.seconds, "t1", "deadly"), crash(1.seconds, "t2", "deadly")),
                emptySet(),
                at = 16.seconds,
            ),
            Case(
                "one further crash quarantines a part for a longer term",
                listOf(
                    crash(0.seconds, "t1", "deadly"),
                    crash(1.seconds, "t2", "deadly"),
                    crash(17.seconds, "t3", "deadly"),
                ),
                setOf(deadly),
                at = 76.seconds,
            ),
            Case(
                "an answer after the term withdraws the verdict",
                listOf(
                    crash(0.seconds, "t1", "deadly"),
                    crash(1.seconds, "t2", "deadly"),
                    answer(17.seconds, "deadly"),
                    crash(18.seconds, "t3", "deadly"),
                ),
                emptySet(),
                at = 19.seconds,
            ),
            Case(
                "evidence is forgotten when it is too old",
                listOf(crash(0.seconds, "t1", "deadly"), crash(3.minutes, "t2", "deadly")),
                emptySet(),
                at = 3.minutes,
            ),
        ).forEach { case ->
            test(case.name) {
                val quarantine = quarantine()
                case.events.forEach { quarantine.apply(it) }
                val found =
                    listOf(first, deadly, other).filter {
                        quarantine.findQuarantined(listOf(it), start + case.at) !=
                            null
                    }
                found.toSet() shouldBe case.quarantined
            }
        }

        fun exchange(
            quarantines: Map<HostName, PromptQuarantine>,
            now: Instant,
            isDelivered: () -> Boolean = { true },
        ) {
            quarantines.forEach { (host, sender) ->
                sender.reports(quarantines.keys - host, now).forEach { report ->
                    (quarantines - host).values.forEach { if (isDelivered()) it.received(report, now) }
                }
            }
        }

        test(
            "a verdict from crashes that different processes saw is in force at all of them, though reports are lost",
        ) {
            val random = Random(7)
            val quarantines = listOf("a", "b", "c", "d").map(::HostName).associateWith { quarantine(it.text) }
            val hosts = quarantines.keys.toList()
            quarantines.getValue(hosts[0]).lost("t1", listOf(first, deadly), hasBegun = true, start)
            quarantines.getValue(hosts[1]).lost(
                "t2",
                listOf(first, deadly),
                hasBegun = true,
                start + 600.milliseconds,
            )
            quarantines.getValue(hosts[2]).answered(listOf(first), start + 650.milliseconds)
            repeat(20) { round ->
                exchange(quarantines, start + 600.milliseconds + 100.milliseconds * round) { random.nextInt(10) < 7 }
            }
            val verdicts = quarantines.values.map { it.findQuarantined(listOf(first, deadly), start + 3.seconds)?.part }
            verdicts shouldBe List(4) { deadly }
        }

        test("an answer that one process saw withdraws the verdict at all of them") {
            val quarantines = listOf("a", "b", "c").map(::HostName).associateWith { quarantine(it.text) }
            val (a, b) = quarantines.values.toList()
            a.lost("t1", listOf(deadly), hasBegun = true, start)
            a.lost("t2", listOf(deadly), hasBegun = true, start + 1.seconds)
            exchange(quarantines, start + 1.seconds)
            b.answered(listOf(deadly), start + 1100.milliseconds)
            repeat(30) { exchange(quarantines, start + 1200.milliseconds + 100.milliseconds * it) }
            quarantines.values.map { it.findQuarantined(listOf(deadly), start + 5.seconds) } shouldBe List(3) { null }
        }

        test("a process that starts later learns of a verdict whose observer is gone") {
            val hosts = listOf("a", "b", "c").map(::HostName)
            val quarantines = hosts.associateWith { quarantine(it.text) }
            val observer = quarantines.getValue(hosts[0])
            observer.lost("t1", listOf(deadly), hasBegun = true, start)
            observer.lost("t2", listOf(deadly), hasBegun = true, start + 1.seconds)
            exchange(quarantines, start + 1.seconds)
            val rest = (quarantines - hosts[0]) + (HostName("d") to quarantine("d"))
            repeat(15) { exchange(rest, start + 2.seconds + 100.milliseconds * it) }
            rest.getValue(HostName("d")).findQuarantined(listOf(deadly), start + 4.seconds)?.part shouldBe deadly
        }

        test("a part whose term is over does not hide another part of the prompt that is quarantined") {
            val quarantine = quarantine()
            quarantine.apply(crash(0.seconds, "t1", "first"))
            quarantine.apply(crash(1.seconds, "t2", "first"))
            quarantine.apply(crash(10.seconds, "t3", "deadly"))
            quarantine.apply(crash(11.seconds, "t4", "deadly"))
            quarantine.findQuarantined(listOf(first, deadly), start + 20.seconds)?.part shouldBe deadly
        }

        test("a process that restarts learns again of the crashes that it had observed itself") {
            val before = quarantine("a")
            val other = quarantine("b")
            before.lost("t1", listOf(deadly), hasBegun = true, start)
            before.lost("t2", listOf(deadly), hasBegun = true, start + 1.seconds)
            before.reports(setOf(HostName("b")), start + 1.seconds).forEach { other.received(it, start + 1.seconds) }
            val restarted = PromptQuarantine(HostName("a"), Incarnation(2))
            other.reports(setOf(HostName("a")), start + 3.seconds).forEach { restarted.received(it, start + 3.seconds) }
            restarted.findQuarantined(listOf(deadly), start + 3.seconds)?.part shouldBe deadly
        }

        test("a verdict outlasts the crash of a whole domain") {
            val quarantine = quarantine()
            quarantine.apply(crash(0.seconds, "t1", "deadly"))
            quarantine.apply(crash(1.seconds, "t2", "deadly"))
            repeat(600) { quarantine.apply(crash(2.seconds, "domain-$it", "own$it")) }
            quarantine.findQuarantined(listOf(deadly), start + 3.seconds)?.part shouldBe deadly
        }

        test("an answer counts against evidence that arrives after it") {
            val (observer, witness) = listOf(quarantine("a"), quarantine("b"))
            observer.lost("t1", listOf(first), hasBegun = true, start)
            observer.lost("t2", listOf(first), hasBegun = true, start + 10.milliseconds)
            witness.answered(listOf(first), start + 50.milliseconds)
            val now = start + 100.milliseconds
            observer.reports(setOf(HostName("b")), now).forEach { witness.received(it, now) }
            witness.reports(setOf(HostName("a")), now).forEach { observer.received(it, now) }
            listOf(observer, witness).map { it.findQuarantined(listOf(first), now)?.part } shouldBe listOf(null, null)
        }

        test("a process that starts late learns of a verdict whose term is longer than evidence lasts") {
            val (observer, late) = listOf(quarantine("a"), quarantine("b"))
            listOf(0, 1, 17, 78).forEach { observer.apply(crash(it.seconds, "t$it", "deadly")) }
            val now = start + 210.seconds
            observer.findQuarantined(listOf(deadly), now)?.part shouldBe deadly
            observer.reports(setOf(HostName("b")), now).forEach { late.received(it, now) }
            late.findQuarantined(listOf(deadly), now)?.part shouldBe deadly
        }

        test("processes do not keep evidence alive by reporting it to each other") {
            val quarantines = listOf("a", "b", "c").map(::HostName).associateWith { quarantine(it.text) }
            quarantines.values.first().lost("t1", listOf(deadly), hasBegun = true, start)
            repeat(1300) { exchange(quarantines, start + 100.milliseconds * it) }
            quarantines.values.map { it.isEmpty } shouldBe List(3) { true }
        }

        test("reports that tell nothing new cost little, also with as much evidence as is kept") {
            val (observer, receiver) = listOf(quarantine("a"), quarantine("b"))
            repeat(256) { number ->
                val parts = listOf("first", "s$number", "r$number").map(::PromptPart)
                observer.lost("t$number", parts, hasBegun = true, start)
                observer.answered(listOf(first), start + 1.milliseconds)
            }
            val now = start + 2.milliseconds
            val reports = observer.reports(emptySet(), now)
            reports.forEach { receiver.received(it, now) }
            val threads = ManagementFactory.getThreadMXBean()
            val before = threads.currentThreadCpuTime
            // As many as 330 processes send within a second, one each 100 ms.
            repeat(3300) { receiver.received(reports[it % reports.size], now) }
            (threads.currentThreadCpuTime - before).nanoseconds shouldBeLessThan 500.milliseconds
        }

        test("evidence is bounded, however many targets crash") {
            val quarantine = quarantine()
            repeat(10_000) { number ->
                quarantine.lost(
                    "t$number",
                    listOf(PromptPart("p$number")),
                    hasBegun = true,
                    start + 1.seconds * number,
                )
            }
            quarantine.reports(emptySet(), start + 10_000.seconds).sumOf { it.evidence.size } shouldBeLessThanOrEqual
                256
        }
    })
