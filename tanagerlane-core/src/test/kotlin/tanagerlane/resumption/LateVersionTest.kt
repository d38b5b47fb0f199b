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
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against streams whose target had started again with another version, as their entry learned too late. */
class LateVersionTest :
    FunSpec({
        listOf(true, false).forEach { isListed ->
            test(
                "a stream is not joined that began at a target of another version than known, still listed $isListed",
            ) {
                val directory = OriginDirectory(HostName("entry-1"))
                (0..20).forEach {
                    directory.observe(
                        listOf(target("t1", "v1"), target("t2", "v1")),
                        at(it),
                        version(1),
                    )
                }
                // The target runs v2 by now.
                directory.began(ATTEMPT, target("t1", "v1"), at(20))
                directory.observe(listOf(target("t1", "v2"), target("t2", "v1")), at(21), version(2))
                if (!isListed) directory.observe(listOf(target("t2", "v1")), at(22), version(3))
                directory.resolve(ATTEMPT, MODELS, emptyList(), isConfirmed = true, at(22)) shouldBe Resumption.Unknown
            }
        }
    }) {
    private companion object {
        val MODELS = ServiceName("models")
        val ATTEMPT = RequestId("attempt-1")

        fun at(second: Int): Instant = Instant.fromEpochSeconds(1_000L + second)

        fun version(number: Long) = ObjectVersion(number)

        fun target(
            name: String,
            version: String,
        ) = DirectTarget(
            name = TargetName(name),
            service = MODELS,
            address = "127.0.0.1:1",
            failureDomain = FailureDomain("a"),
            places = 4,
            leaving = false,
            coldTime = 0.seconds,
            version = SoftwareVersion(version),
        )
    }
}
