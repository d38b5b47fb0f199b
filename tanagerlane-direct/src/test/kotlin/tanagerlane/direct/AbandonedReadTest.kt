package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.yield
import kotlin.time.Duration
import kotlin.time.Instant

/** Guards against a shared read that counts as failed for all who wait for it, as the caller that began it has left. */
class AbandonedReadTest :
    FunSpec({
        test("a caller that leaves during a read that others wait for does not fail them") {
            val answers = List(3) { CompletableDeferred<Boolean>() }
            var begun = 0
            val reads = SharedReads(Duration.ZERO, { NOW }) { answers[begun++].await() }
            coroutineScope {
                val first = async { reads.read() }
                yield()
                val leaving = async { reads.read() }
                val waiting = async { reads.read() }
                yield()
                answers[0].complete(true)
                first.await() shouldBe true
                yield()
                begun shouldBe 2
                leaving.cancel()
                answers[1].complete(true)
                answers[2].complete(true)
                waiting.await() shouldBe true
            }
        }
    }) {
    private companion object {
        val NOW = Instant.fromEpochSeconds(1_000)
    }
}
