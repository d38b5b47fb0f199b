package tanagerlane.documents

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

class JsonDocumentsTest :
    FunSpec({
        data class DepthCase(
            val text: String,
            val depth: Int,
        )
        listOf(
            DepthCase("", 0),
            DepthCase("7", 0),
            DepthCase("{}", 1),
            DepthCase("""{"a":[{}]}""", 3),
            DepthCase("""{"a":"[[[["}""", 1),
            DepthCase("""{"a":"\"[["}""", 1),
            DepthCase("]][", 0),
            DepthCase("[".repeat(20_000), 20_000),
        ).forEach { case ->
            test("the depth of ${case.text.take(20)} is ${case.depth}") { jsonDepthOf(case.text) shouldBe case.depth }
        }

        data class ObjectCase(
            val name: String,
            val text: String,
            val expected: JsonObject?,
        )
        listOf(
            ObjectCase("an object", """{"a":1}""", JsonObject(mapOf("a" to JsonPrimitive(1)))),
            ObjectCase("an array", "[1]", null),
            ObjectCase("truncated JSON", """{"a":""", null),
            ObjectCase("a document of 20,000 levels", """{"a":""".repeat(20_000) + "1" + "}".repeat(20_000), null),
        ).forEach { case ->
            test("${case.name} is read as ${case.expected}") { jsonObjectOrNull(case.text) shouldBe case.expected }
        }
    })
