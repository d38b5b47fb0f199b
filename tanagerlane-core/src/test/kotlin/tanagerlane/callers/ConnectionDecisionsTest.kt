package tanagerlane.callers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.serving.CallerLimits
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against limits that callers within the configuration reach, and transfers that never end. */
class ConnectionDecisionsTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)

        context("second in which a transfer that gets some bytes each second is ended") {
            listOf(
                0L to 10,
                50L to 19,
                100L to null,
                5_000L to null,
            ).forEach { (bytes, expected) ->
                test("$bytes bytes a second: $expected") {
                    var lease = ProgressLease.begin(10.seconds, bytesPerSecond = 100, start)
                    val ended =
                        (1..1_000).firstOrNull { second ->
                            val now = start + second.seconds
                            lease.isExpired(now).also { lease = lease.afterProgress(bytes, now) }
                        }
                    ended shouldBe expected
                }
            }
        }

        test("limits leave room above the configured ones") {
            val configured = CallerLimits(1, 16_384, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
            val limits = ConnectionLimits.of(configured)
            (limits.maximumHeadBytes > 16_384 + 4_096) shouldBe true
            limits.headLease(start).isExpired(start + 3_100.milliseconds) shouldBe false
            (limits.idleTimeout >= 15.seconds) shouldBe true
            limits.drains(ConnectionLimits.MAXIMUM_DRAINED_BYTES) shouldBe true
            limits.drains(ConnectionLimits.MAXIMUM_DRAINED_BYTES + 1) shouldBe false
        }

        context("default bound on connections") {
            listOf(
                Triple(2_212L, 128L, 1_659),
                Triple(10_250L, 128L, 2_048),
                Triple(1_024L, 128L, 512),
                Triple(100L, 128L, 16),
            ).forEach { (descriptors, heap, maximum) ->
                test("$descriptors descriptors, $heap MiB: $maximum") {
                    ConnectionBound.defaultMaximum(descriptors, heap shl 20) shouldBe maximum
                }
            }
        }

        context("connection that is closed for a new one") {
            listOf(
                emptyList<Int>() to null,
                listOf(0) to null,
                listOf(2, 5, 3) to 1,
            ).forEach { (ages, victim) ->
                test("unused for $ages s: $victim") {
                    val unused = ages.mapIndexed { number, age -> number to start - age.seconds }
                    ConnectionBound(3).victim(unused, start) shouldBe victim
                }
            }
        }

        test("log lines are bounded in each period, and those left out are counted") {
            val quota = LogQuota(maximum = 2, period = 10.seconds)
            val taken = listOf(0, 1, 2, 3, 10, 11).map { quota.tryTake(start + it.seconds) }
            taken shouldBe listOf(0L, 0L, null, null, 2L, 0L)
        }
    })
