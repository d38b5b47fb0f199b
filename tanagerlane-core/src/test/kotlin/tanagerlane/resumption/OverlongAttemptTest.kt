package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Instant

class OverlongAttemptTest :
    FunSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val target =
            DirectTarget(
                name = TargetName("t1"),
                service = ServiceName("models"),
                address = "127.0.0.1:1",
                failureDomain = FailureDomain("a"),
                places = 4,
                version = SoftwareVersion("v1"),
            )

        listOf(1 to 1, 100 to 1, 101 to 0, 8_000 to 0).forEach { (characters, size) ->
            test("of attempts with an id of $characters characters, $size is remembered") {
                val attempt = RequestId("x".repeat(characters))
                val began = OriginDirectory(HostName("entry-1"))
                began.began(attempt, target, now)
                began.size shouldBe size

                val resumed = OriginDirectory(HostName("entry-1"))
                resumed.versions.assumeNothingBefore()
                resumed.observe(listOf(target), now)
                val outcome = resumed.resolve(attempt, target.service, emptyList(), isConfirmed = true, now)
                (outcome as? Resumption.At)?.origin?.version shouldBe target.version
                resumed.size shouldBe size
            }
        }
    })
