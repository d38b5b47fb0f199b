package tanagerlane.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class WireAddressTest :
    FunSpec({
        data class AddressCase(
            val text: String,
            val expected: WireAddress?,
        )
        val longestHost = "a.".repeat(126) + "a"
        listOf(
            AddressCase("10.0.0.9:8080", WireAddress("10.0.0.9", 8080)),
            AddressCase("host.example:1", WireAddress("host.example", 1)),
            AddressCase("10.0.0.9:0", WireAddress("10.0.0.9", 0)),
            AddressCase("10.0.0.9:65535", WireAddress("10.0.0.9", 65_535)),
            AddressCase("10.0.0.9:65536", null),
            AddressCase("10.0.0.9:-1", null),
            AddressCase("10.0.0.9:${"7".repeat(100_000)}", null),
            AddressCase("10.0.0.9:", null),
            AddressCase("10.0.0.9", null),
            AddressCase(":1", null),
            AddressCase("", null),
            AddressCase("$longestHost:1", WireAddress(longestHost, 1)),
            AddressCase("a$longestHost:1", null),
            AddressCase("${"a.".repeat(50_000)}:1", null),
        ).forEach { case ->
            test("'${case.text.take(20)}' of ${case.text.length} characters is read as ${case.expected?.port}") {
                WireAddress.parse(case.text) shouldBe case.expected
            }
        }
    })
