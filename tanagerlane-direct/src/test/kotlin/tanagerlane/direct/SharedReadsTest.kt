package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Guards against reads that count for callers that came after their beginning, and against a read for each caller. */
class SharedReadsTest :
    FunSpec({
        test("callers that wait share a read that begins later than all of them have come") {
            val answers = List(3) { CompletableDeferred<Boolean>() }
            var begun = 0
            val reads = SharedReads(Duration.ZERO, { NOW }) { answers[begun++].await() }
            coroutineScope {
                val first = async { reads.read() }
                yield()
                begun shouldBe 1
                val second = async { reads.read() }
                val third = async { reads.read() }
                yield()
                begun shouldBe 1
                answers[0].complete(true)
                first.await() shouldBe true
                answers[1].complete(false)
                listOf(second.await(), third.await()) shouldBe listOf(false, false)
                begun shouldBe 2
            }
        }

        test("a caller that has left fails nobody and counts for nobody") {
            val answers = listOf(CompletableDeferred<Boolean>(), CompletableDeferred(true))
            var begun = 0
            val reads = SharedReads(Duration.ZERO, { NOW }) { answers[begun++].await() }
            withTimeoutOrNull(10.milliseconds) { reads.read() } shouldBe null
            reads.read() shouldBe true
            begun shouldBe 2
        }
    }) {
    private companion object {
        val NOW = Instant.fromEpochSeconds(1_000)
    }
}
