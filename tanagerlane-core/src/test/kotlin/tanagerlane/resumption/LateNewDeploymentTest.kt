package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a process that vouches for a pause in its observations as it learns later that its deployment is new. */
class LateNewDeploymentTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val service = ServiceName("models")
        val target =
            DirectTarget(
                name = TargetName("t1"),
                service = service,
                address = "127.0.0.1:1",
                failureDomain = FailureDomain("a"),
                places = 4,
                version = SoftwareVersion("v1"),
            )

        data class PauseCase(
            val name: String,
            val pause: Int,
            val soleVersion: String?,
        )
        listOf(
            PauseCase("observes the targets without a pause", pause = 1, soleVersion = "v1"),
            PauseCase("is frozen for 9 s", pause = 9, soleVersion = null),
        ).forEach { case ->
            test("a process that ${case.name} before it learns that the deployment is new") {
                val directory = OriginDirectory(HostName("entry-1"))
                directory.observe(listOf(target), start)
                val now = start + case.pause.seconds
                directory.observe(listOf(target), now)
                directory.versions.assumeNothingBefore()
                directory.versions.soleVersion(service, directory.lifetime, now)?.text shouldBe case.soleVersion
            }
        }
    })
