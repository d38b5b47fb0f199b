package tanagerlane.views

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class SocketDelayTest :
    FunSpec({
        listOf(
            Case("all may have lain there before the first probe is read", listOf(Sent(10)), 500, 500, 500),
            Case("what is read after a probe has arrived after it was sent", listOf(Sent(10), Read(1)), 500, 490, 500),
            Case(
                "other sockets are read before the next probe is sent",
                listOf(Sent(10), Read(1), Sent(60), Read(2)),
                500,
                440,
                490,
            ),
            Case(
                "the interval of the probes counts as no delay",
                listOf(Sent(10), Read(1), Sent(60), Read(2)),
                160,
                0,
                0,
            ),
            Case(
                "other sockets are two intervals behind",
                listOf(Sent(10), Read(1), Sent(60), Read(2)),
                161,
                0,
                151,
            ),
            Case(
                "what lay in the socket during a pause is as old as the pause",
                listOf(Sent(10), Read(1), Sent(60), Read(2), Sent(110), Sent(3000), Read(3)),
                3000,
                2890,
                2940,
            ),
            Case(
                "the first probe after a pause tells nothing about other sockets",
                listOf(Sent(10), Read(1), Sent(60), Read(2), Sent(3000), Read(3)),
                3010,
                0,
                2950,
            ),
            Case(
                "probes sent before one was read tell nothing about other sockets",
                listOf(Sent(10), Sent(60), Sent(110), Read(1), Read(2), Read(3)),
                200,
                0,
                200,
            ),
            Case(
                "a lost probe is passed over",
                listOf(Sent(10), Read(1), Sent(60), Sent(110), Read(3)),
                300,
                190,
                290,
            ),
            Case("a probe that is overtaken is ignored", listOf(Sent(10), Sent(60), Read(2), Read(1)), 300, 240, 300),
            Case("a probe of an earlier instance is ignored", listOf(Sent(10), Read(7)), 300, 300, 300),
            Case(
                "the oldest of many lost probes are forgotten",
                List(200) { Sent(10L + it) } + listOf(Read(1), Read(200)),
                400,
                191,
                400,
            ),
        ).forEach { case ->
            test(case.name) {
                val delay = SocketDelay(START, lastProbe = 0, tolerance = 150.milliseconds)
                for (step in case.steps) {
                    when (step) {
                        is Sent -> delay.send(START + step.at.milliseconds)
                        is Read -> delay.read(step.number)
                    }
                }
                val now = START + case.now.milliseconds
                delay.ofProbes(now) shouldBe case.ofProbes.milliseconds
                delay.ofOthers(now) shouldBe case.ofOthers.milliseconds
            }
        }
    }) {
    private sealed interface Step

    /** A probe sent [at] milliseconds after the start. */
    private data class Sent(
        val at: Long,
    ) : Step

    private data class Read(
        val number: Long,
    ) : Step

    /** All times are in milliseconds since the start. */
    private data class Case(
        val name: String,
        val steps: List<Step>,
        val now: Long,
        val ofProbes: Long,
        val ofOthers: Long,
    )

    private companion object {
        val START = Instant.fromEpochSeconds(1_000)
    }
}
