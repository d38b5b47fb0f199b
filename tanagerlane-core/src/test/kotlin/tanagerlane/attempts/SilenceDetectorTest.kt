package tanagerlane.attempts

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SilenceDetectorTest :
    FunSpec({
        test("a silent connection is pinged and then replaced") {
            val detector = SilenceDetector(at(0.seconds))
            decisions(detector, upTo = 2.seconds) shouldBe
                listOf(
                    LivenessDecision.SendPing(1, at(1000.milliseconds)),
                    LivenessDecision.SendPing(2, at(1500.milliseconds)),
                    LivenessDecision.SendPing(3, at(2000.milliseconds)),
                    LivenessDecision.Replace,
                )
        }

        test("an answered ping keeps the connection and records when that ping was sent") {
            val detector = SilenceDetector(at(0.seconds))
            decisions(detector, upTo = 1500.milliseconds)
            detector.pongReceived(2, at(1600.milliseconds))
            detector.answeredProbeSentAt shouldBe at(1000.milliseconds)
            detector.pongReceived(1, at(1700.milliseconds))
            detector.answeredProbeSentAt shouldBe at(1000.milliseconds)
            detector.decide(at(2.seconds)) shouldBe LivenessDecision.SendPing(4, at(2500.milliseconds))
        }

        test("a pause of this host is not mistaken for silence of the peer") {
            val detector = SilenceDetector(at(0.seconds))
            detector.decide(at(60.seconds)) shouldBe LivenessDecision.SendPing(1, at(60_500.milliseconds))
        }

        test("delays between attempts to connect double up to the maximum") {
            val backoff = ReconnectBackoff(Random(7))
            val bounds = listOf(50, 100, 200, 400, 800, 1600, 2000, 2000).map { it.milliseconds }
            val outside = bounds.filter { bound -> backoff.next().let { it < bound / 2 || it > bound } }
            outside shouldBe emptyList()
        }
    })

private fun at(time: Duration) = Instant.fromEpochSeconds(1_000_000) + time

private fun decisions(
    detector: SilenceDetector,
    upTo: Duration,
): List<LivenessDecision> = (1..(upTo / 500.milliseconds).toInt()).map { detector.decide(at(500.milliseconds * it)) }
