package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.TargetName
import tanagerlane.quarantine.LossStage
import tanagerlane.quarantine.PromptQuarantine
import tanagerlane.quarantine.RequestIdentity
import tanagerlane.quarantine.RequestTraits
import tanagerlane.wire.WireCodec
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class CrashReportSizeTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)

        fun partsOf(
            request: Int,
            count: Int,
        ): List<PromptPart> = List(count) { PromptPart("%08x%04x".format(request, it)) }

        fun digestOf(request: Int) = RequestIdentity("w", "POST", "h", "/$request", ByteArray(0), emptyList()).digest()

        data class Case(
            val name: String,
            val lost: Int,
            val parts: Int,
            val answered: Boolean,
        )
        listOf(
            Case("requests with as many parts as are remembered", lost = 40, parts = 8, answered = false),
            Case("requests without parts", lost = 40, parts = 0, answered = false),
            Case("requests some of which were answered since", lost = 40, parts = 4, answered = true),
        ).forEach { case ->
            test("each report of a crash fits into one datagram: ${case.name}") {
                val quarantine = PromptQuarantine(HostName("front-bagmati-c-1"), Incarnation(1_764_950_400_000))
                val lostAt = start + 1_234_567.microseconds
                repeat(case.lost) { number ->
                    val traits = RequestTraits(partsOf(number, case.parts), digestOf(number))
                    quarantine.lost(TargetName("i-9ee1dd3842"), traits, LossStage.BEGUN, start, lostAt)
                }
                val answered = if (case.answered) case.lost / 2 else 0
                repeat(answered) { number ->
                    quarantine.answered(partsOf(number, case.parts), lostAt + 10.milliseconds)
                    quarantine.completed(digestOf(number), lostAt + 10.milliseconds)
                }
                val reports = quarantine.reports(emptySet(), lostAt + 50_001.microseconds)
                reports.maxOf { WireCodec.encode(it).size } shouldBeLessThanOrEqual MAXIMUM_BYTES
            }
        }
    }) {
    private companion object {
        /** Size up to which [DatagramTransport] sends a message. */
        const val MAXIMUM_BYTES = 2_000
    }
}
