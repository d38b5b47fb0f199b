package tanagerlane.resumption

import tanagerlane.model.FailureDomain
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val MODELS = ServiceName("models")
internal val ATTEMPT = RequestId("a1")

internal fun at(second: Int): Instant = Instant.fromEpochSeconds(1_000_000) + second.seconds

internal fun version(text: String) = SoftwareVersion(text)

internal fun target(
    name: String,
    version: String = "v1",
    service: String = MODELS.text,
): DirectTarget =
    DirectTarget(
        TargetName(name),
        ServiceName(service),
        address = "10.0.0.1:80",
        failureDomain = FailureDomain("d0"),
        places = 8,
        version = version(version),
    )

/** Returns a target of each of [versions], named after it. */
internal fun targets(versions: List<String>): List<DirectTarget> = versions.map { target("t-$it", it) }
