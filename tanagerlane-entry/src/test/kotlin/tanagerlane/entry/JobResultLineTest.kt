package tanagerlane.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.job.ItemResult
import tanagerlane.model.Payload

class JobResultLineTest :
    FunSpec({
        data class BodyCase(
            val body: String,
            val formatted: String,
        )
        val deep = "[".repeat(200) + "]".repeat(200)
        listOf(
            BodyCase("""{"a":[1]}""", """{"a":[1]}"""),
            BodyCase("[1,2]", "[1,2]"),
            BodyCase("7", "7"),
            BodyCase("{not JSON", "\"{not JSON\""),
            BodyCase(deep, "\"$deep\""),
        ).forEach { case ->
            test("the body ${case.body.take(20)} of a result is formatted as ${case.formatted.take(20)}") {
                val result = ItemResult(line = 1, customId = "i1", statusCode = 200, body = Payload.of(case.body))
                resultLine(result) shouldBe
                    """{"custom_id":"i1","response":{"status_code":200,"body":${case.formatted}},"error":null}"""
            }
        }
    })
