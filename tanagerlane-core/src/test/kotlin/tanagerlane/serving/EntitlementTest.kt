package tanagerlane.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.RefusalReason

class EntitlementTest :
    FunSpec({
        val closed = route()
        val nested = route(name = "nested", prefix = "/findings/deep/")
        val open = route(name = "open", prefix = "/open/", open = true)
        val current = configuration(closed, nested, open)

        data class EntitlementCase(
            val name: String,
            val path: String,
            val key: String?,
            val isCurrent: Boolean = true,
            val configuration: ServingConfiguration? = current,
            val host: String = "rail.example",
            val expected: Entitlement,
        )
        listOf(
            EntitlementCase(
                "a key of a workspace",
                "/findings/1",
                "good-key",
                expected = Entitlement.Granted(closed, crews),
            ),
            EntitlementCase(
                "the longest prefix",
                "/findings/deep/1",
                "good-key",
                expected = Entitlement.Granted(nested, crews),
            ),
            EntitlementCase("an open route without a key", "/open/1", null, expected = Entitlement.Granted(open, null)),
            EntitlementCase(
                "an open route with a wrong key",
                "/open/1",
                "bad",
                expected = Entitlement.Granted(open, null),
            ),
            EntitlementCase("no key", "/findings/1", null, expected = Entitlement.Denied(RefusalReason.NO_KEY)),
            EntitlementCase("a wrong key", "/findings/1", "bad", expected = Entitlement.Denied(RefusalReason.NO_KEY)),
            EntitlementCase("no route", "/other/1", "good-key", expected = Entitlement.Denied(RefusalReason.NOT_FOUND)),
            EntitlementCase(
                "another host",
                "/findings/1",
                "good-key",
                host = "other.example",
                expected = Entitlement.Denied(RefusalReason.NOT_FOUND),
            ),
            EntitlementCase(
                "a wrong key while the configuration may be stale",
                "/findings/1",
                "bad",
                isCurrent = false,
                expected = Entitlement.Denied(RefusalReason.CONFIGURATION_STALE),
            ),
            EntitlementCase(
                "no route while the configuration may be stale",
                "/other/1",
                "good-key",
                isCurrent = false,
                expected = Entitlement.Denied(RefusalReason.CONFIGURATION_STALE),
            ),
            EntitlementCase(
                "a known key while the configuration may be stale",
                "/findings/1",
                "good-key",
                isCurrent = false,
                expected = Entitlement.Granted(closed, crews),
            ),
            EntitlementCase(
                "no configuration yet",
                "/findings/1",
                "good-key",
                configuration = null,
                expected = Entitlement.Denied(RefusalReason.CONFIGURATION_STALE),
            ),
        ).forEach { case ->
            test(case.name) {
                Entitlement.of(case.configuration, case.isCurrent, case.host, case.path, case.key) shouldBe
                    case.expected
            }
        }
    })
