package tanagerlane.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.seconds

class SettingsReaderTest :
    FunSpec({
        for (case in BAD_INVENTORIES) {
            test("an inventory with ${case.name} is rejected") {
                val text = MINIMAL.replace(case.from, case.to)
                val faults = SettingsReader.inventory().read("inventory.toml", text).getError()
                faults?.map { "${it.location} ${it.reason}" } shouldBe case.faults
            }
        }

        for (case in BAD_ENTRY_SETTINGS) {
            test("entry settings with ${case.name} are rejected") {
                val text = ENTRY.replace(case.from, case.to)
                val faults = SettingsReader.entry().read("entry.toml", text).getError()
                faults?.map { "${it.location} ${it.reason}" } shouldBe case.faults
            }
        }

        for (deployment in listOf("sporskifte", "estaturas")) {
            test("the examples of $deployment are accepted") {
                val folder = Path.of("..", "examples", deployment)
                SettingsReader
                    .inventory()
                    .read(
                        "inventory.toml",
                        folder.resolve("inventory.toml").readText(),
                    ).getError() shouldBe
                    null
                SettingsReader.entry().read("entry.toml", folder.resolve("entry.toml").readText()).getError() shouldBe
                    null
                SettingsReader
                    .sidecar()
                    .read(
                        "sidecar.toml",
                        folder.resolve("sidecar.toml").readText(),
                    ).getError() shouldBe
                    null
            }
        }

        test("an inventory truncated at any character is rejected or read without an exception") {
            val outcomes = MINIMAL.indices.map { SettingsReader.inventory().read("inventory.toml", MINIMAL.take(it)) }
            outcomes.filter { it.getError()?.isEmpty() ?: false } shouldBe emptyList()
        }

        test("values and defaults of a valid inventory are read") {
            val inventory = SettingsReader.inventory().read("inventory.toml", MINIMAL).get()
            inventory?.rules?.onlineDeadline shouldBe 5.seconds
            inventory?.rules?.itemAttempts shouldBe 3
            inventory?.workspaces?.single()?.rate shouldBe 2.0
        }
    })

private class BadDocument(
    val name: String,
    val from: String,
    val to: String,
    vararg faults: String,
) {
    val faults: List<String> = faults.toList()
}

private val MINIMAL =
    """
    deployment = "small"
    sites = [{ name = "north", failureDomains = ["north-1"] }]
    models = [{ name = "writer", maximumTokens = 64 }]
    services = [{ name = "desk", routes = [{ prefix = "/a", methods = ["GET", "POST"], repeatable = ["GET"] }] }]
    targets = [
      { name = "first", failureDomain = "north-1", models = ["writer"], window = 4 },
      { name = "second", failureDomain = "north-1", services = ["desk"], window = 4 },
    ]
    workspaces = [{ name = "clinic", rate = 2, burst = 4 }]
    rules = { onlineDeadline = "5s" }
    """.trimIndent()

private val ENTRY =
    """
    callerPort = 8080
    [host]
    name = "entry-1"
    failureDomain = "north-1"
    address = "127.0.0.1"
    wirePort = 7101
    operatorPort = 7102
    objectApi = "http://127.0.0.1:7000"
    """.trimIndent()

private const val UNIT_REASON = "expected a duration in ms, s, m or h, such as \"250ms\", but found"

private val BAD_INVENTORIES =
    listOf(
        BadDocument(
            "an unknown field",
            "burst = 4",
            "burst = 4, color = \"red\"",
            "inventory.toml:workspaces[0].color unknown field; known fields are name, rate, burst, weight",
        ),
        BadDocument("a missing field", ", burst = 4", "", "inventory.toml:workspaces[0].burst missing field"),
        BadDocument(
            "text in place of a number",
            "rate = 2",
            "rate = \"2\"",
            "inventory.toml:workspaces[0].rate expected a finite number but found the text \"2\"",
        ),
        BadDocument(
            "a fraction in place of a whole number",
            "burst = 4",
            "burst = 4.5",
            "inventory.toml:workspaces[0].burst expected a whole number of at most 32 bits but found 4.5",
        ),
        BadDocument(
            "a table in place of a list",
            "[{ name = \"clinic\", rate = 2, burst = 4 }]",
            "{ name = \"clinic\" }",
            "inventory.toml:workspaces expected a list but found a table",
        ),
        BadDocument(
            "an infinite rate",
            "rate = 2",
            "rate = inf",
            "inventory.toml:workspaces[0].rate expected a finite number but found Infinity",
        ),
        BadDocument("a duration without a unit", "\"5s\"", "5", "inventory.toml:rules.onlineDeadline $UNIT_REASON 5"),
        BadDocument(
            "an unknown unit",
            "\"5s\"",
            "\"5 parsecs\"",
            "inventory.toml:rules.onlineDeadline $UNIT_REASON \"5 parsecs\"",
        ),
        BadDocument(
            "a duration of zero",
            "\"5s\"",
            "\"0s\"",
            "inventory.toml:rules.onlineDeadline 0s is not allowed; expected a positive duration",
        ),
        BadDocument(
            "a negative rate",
            "rate = 2",
            "rate = -2",
            "inventory.toml:workspaces[0].rate -2.0 is not allowed; expected a positive number of requests a second",
        ),
        BadDocument(
            "a window of zero",
            "models = [\"writer\"], window = 4",
            "models = [\"writer\"], window = 0",
            "inventory.toml:targets[0].window 0 is not allowed; expected at least 1",
        ),
        BadDocument(
            "a name that is not allowed in a path",
            "\"clinic\"",
            "\"a/b\"",
            "inventory.toml:workspaces[0].name \"a/b\" is not allowed; expected letters, digits, '.', '_' and '-'",
        ),
        BadDocument(
            "a duplicate name",
            "\"second\"",
            "\"first\"",
            "inventory.toml:targets[1].name duplicate name first",
        ),
        BadDocument(
            "a reference to an undeclared model",
            "models = [\"writer\"]",
            "models = [\"reader\"]",
            "inventory.toml:targets[0].models[0] no model is named reader",
        ),
        BadDocument(
            "a reference to an undeclared failure domain",
            "failureDomain = \"north-1\", services",
            "failureDomain = \"south-1\", services",
            "inventory.toml:targets[1].failureDomain no failure domain is named south-1",
        ),
        BadDocument(
            "a reference to an undeclared service",
            "services = [\"desk\"]",
            "services = [\"shop\"]",
            "inventory.toml:targets[1].services[0] no service is named shop",
        ),
        BadDocument(
            "a repeatable method that is not allowed",
            "repeatable = [\"GET\"]",
            "repeatable = [\"PUT\"]",
            "inventory.toml:services[0].routes[0].repeatable[0] no method of the route is named PUT",
        ),
        BadDocument(
            "an open route without a rate",
            "repeatable = [\"GET\"]",
            "open = true, burst = 1",
            "inventory.toml:services[0].routes[0].rate 0.0 is not allowed; expected a positive number of requests a second",
        ),
        BadDocument(
            "several faults of each kind",
            "{ name = \"second\", failureDomain = \"north-1\", services = [\"desk\"], window = 4 }",
            "{ name = \"first\", failureDomain = \"south-1\", services = [3], wide = 4 }",
            "inventory.toml:targets[1].wide unknown field; known fields are " +
                "name, failureDomain, models, services, window, checksFencing, leaving",
            "inventory.toml:targets[1].services[0] expected text but found 3",
            "inventory.toml:targets[1].window missing field",
            "inventory.toml:targets[1].name duplicate name first",
            "inventory.toml:targets[1].failureDomain no failure domain is named south-1",
        ),
        BadDocument(
            "a truncated end",
            "rules = { onlineDeadline = \"5s\" }",
            "rules = { onlineDeadline = \"5",
            "inventory.toml:10 not valid TOML: Premature end of file",
        ),
    )

private val BAD_ENTRY_SETTINGS =
    listOf(
        BadDocument(
            "a port out of range",
            "8080",
            "80800",
            "entry.toml:callerPort 80800 is not allowed; expected 1 to 65535",
        ),
        BadDocument(
            "a host name in place of an IP address",
            "127.0.0.1\"\nwirePort",
            "localhost\"\nwirePort",
            "entry.toml:host.address \"localhost\" is not allowed; expected an IP address",
        ),
        BadDocument(
            "an unknown trace exporter",
            "wirePort",
            "traceExporter = \"paper\"\nwirePort",
            "entry.toml:host.traceExporter \"paper\" is not allowed; expected one of none, log, otlp",
        ),
        BadDocument(
            "an OTLP exporter without its endpoint",
            "wirePort",
            "traceExporter = \"otlp\"\nwirePort",
            "entry.toml:host.traceEndpoint missing field",
        ),
        BadDocument(
            "no host",
            "[host]",
            "[machine]",
            "entry.toml:machine unknown field; known fields are host, callerPort, slots",
            "entry.toml:host missing field",
        ),
    )
