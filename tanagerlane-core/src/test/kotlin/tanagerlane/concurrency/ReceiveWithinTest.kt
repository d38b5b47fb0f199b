package tanagerlane.concurrency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

@OptIn(ExperimentalCoroutinesApi::class)
class ReceiveWithinTest :
    FunSpec({
        listOf(
            Case(sentAfter = 0, timeout = 10, received = 7, takes = 0),
            Case(sentAfter = 5, timeout = 10, received = 7, takes = 5),
            Case(sentAfter = 20, timeout = 10, received = null, takes = 10),
            Case(sentAfter = 20, timeout = 0, received = null, takes = 0),
            Case(sentAfter = 20, timeout = -5, received = null, takes = 0),
        ).forEach { case ->
            test("$case") {
                runTest {
                    val channel = Channel<Int>(Channel.CONFLATED)
                    if (case.sentAfter == 0L) {
                        channel.trySend(7)
                    } else {
                        launch {
                            delay(case.sentAfter)
                            channel.trySend(7)
                        }
                    }
                    channel.receiveWithin(case.timeout.milliseconds) shouldBe case.received
                    currentTime shouldBe case.takes
                }
            }
        }
    }) {
    private data class Case(
        val sentAfter: Long,
        val timeout: Long,
        val received: Int?,
        val takes: Long,
    )
}
