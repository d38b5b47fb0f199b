package tanagerlane.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.measureTime

@OptIn(ExperimentalSerializationApi::class)
class WireCodecCostTest :
    FunSpec({
        test("a message costs about as much to decode as its content") {
            val report =
                PlaceReport(
                    host = HostName("entry-1"),
                    incarnation = Incarnation(1),
                    sequence = 1,
                    places = emptyList(),
                    admissions = emptyList(),
                    leaving = false,
                )
            val message = WireCodec.encode(report)
            val content = Cbor.encodeToByteArray(PlaceReport.serializer(), report)
            val ofMessage = shortestRound { WireCodec.decode(message) }
            val ofContent = shortestRound { Cbor.decodeFromByteArray(PlaceReport.serializer(), content) }
            ofMessage / ofContent shouldBeLessThan MAXIMUM_RATIO
        }
    }) {
    private companion object {
        const val ROUNDS = 20
        const val CALLS_OF_A_ROUND = 500
        const val MAXIMUM_RATIO = 4.0

        /** Returns the time of the shortest of several rounds, which other processes disturb the least. */
        fun shortestRound(call: () -> Unit): Duration =
            (1..ROUNDS).minOf { measureTime { repeat(CALLS_OF_A_ROUND) { call() } } }
    }
}
