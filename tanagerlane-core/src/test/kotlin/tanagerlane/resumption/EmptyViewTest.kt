package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EmptyViewTest :
    FunSpec({
        data class Observation(
            val at: Duration,
            val versions: List<String>,
        )

        data class SoleVersionCase(
            val name: String,
            val observations: List<Observation>,
            val expected: String?,
        )
        listOf(
            SoleVersionCase("one version all the time", listOf(Observation(0.seconds, listOf("v1"))), "v1"),
            SoleVersionCase("one version for a short time", listOf(Observation(15.seconds, listOf("v1"))), null),
            SoleVersionCase(
                "no listing was read for a long time after the start",
                listOf(Observation(0.seconds, emptyList()), Observation(19.seconds, listOf("v1"))),
                null,
            ),
            SoleVersionCase(
                "another version left a short time ago",
                listOf(Observation(0.seconds, listOf("v1")), Observation(15.seconds, listOf("v1", "v2"))),
                null,
            ),
        ).forEach { case ->
            test("the only version of a service: ${case.name}") {
                val start = Instant.fromEpochSeconds(1_000)
                val history = VersionHistory()
                case.observations.forEach { observation ->
                    history.observe(observation.versions.map(::target), start + observation.at)
                }
                val now = start + 20.seconds
                history.observe(listOf(target("v1")), now)
                history.soleVersion(ServiceName("models"), period = 10.seconds, now)?.text shouldBe case.expected
            }
        }
    })

private fun target(version: String) =
    DirectTarget(
        name = TargetName("target of $version"),
        service = ServiceName("models"),
        address = "127.0.0.1:1",
        failureDomain = FailureDomain("a"),
        places = 4,
        version = SoftwareVersion(version),
    )
