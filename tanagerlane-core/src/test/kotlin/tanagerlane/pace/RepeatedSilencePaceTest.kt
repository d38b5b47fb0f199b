package tanagerlane.pace

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.PaceDecision
import tanagerlane.places.TargetLoad
import tanagerlane.places.TargetLoads
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against silent targets that are held back for longer the more requests find the same silence. */
class RepeatedSilencePaceTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val silent =
            DirectTarget(
                name = TargetName("x"),
                service = ServiceName("models"),
                address = "127.0.0.1:1",
                failureDomain = FailureDomain("a"),
                places = 8,
                leaving = false,
                coldTime = null,
            )

        fun check(
            requests: Int,
            isAdaptive: Boolean,
            find: TargetPace.() -> Unit,
        ) {
            val process = PacedProcess(HostName("entry-1"), isRunner = false)
            val pace = TargetPace(process, start - 60.seconds, isAdaptive, serviceOf = { null })
            pace.configureProcesses(listOf(process), start - 60.seconds)
            pace.configure(listOf(silent), start - 60.seconds)
            val loads =
                object : TargetLoads {
                    override fun ofAll(
                        target: TargetName,
                        now: Instant,
                    ) = TargetLoad(online = requests, batch = 0)

                    override fun own(target: TargetName) = requests
                }
            repeat(requests) { pace.find() }

            fun decisionAfter(time: Duration) = pace.admission(silent, loads, start + time)
            decisionAfter(199.milliseconds) shouldBe PaceDecision.HELD
            listOf(200.milliseconds, 2.seconds, 5.seconds).map(::decisionAfter) shouldBe
                List(3) { PaceDecision.ADMITTED }
        }
        listOf(true, false).forEach { isAdaptive ->
            listOf(1, 2, 3, 5).forEach { requests ->
                test("a target that $requests requests found silent at once, adaptive limit $isAdaptive") {
                    check(requests, isAdaptive) { foundSilent(silent.name, start) }
                }
                test("a target that $requests requests found silent and left at once, adaptive limit $isAdaptive") {
                    check(requests, isAdaptive) {
                        foundSilent(silent.name, start)
                        failed(silent.name, start)
                    }
                }
            }
        }
    })
