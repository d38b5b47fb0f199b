package tanagerlane.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.inventory.Model
import tanagerlane.model.ModelName
import tanagerlane.model.Payload

class ChatRequestParserTest :
    FunSpec({
        val parser = ChatRequestParser(listOf(Model(ModelName("m"), maximumTokens = 100)))

        fun body(fields: String) = """{"model":"m","messages":[{"role":"user","content":"a"}]$fields}"""

        data class CountCase(
            val fields: String,
            val maximumTokens: Int,
        )
        listOf(
            CountCase("", 100),
            CountCase(""","max_tokens":7""", 7),
            CountCase(""","max_tokens":null""", 100),
            CountCase(""","max_tokens":2147483647""", 100),
            CountCase(""","max_tokens":7,"max_completion_tokens":5,"n":1""", 5),
        ).forEach { case ->
            test("a body with ${case.fields.ifEmpty { "no number" }} is limited to ${case.maximumTokens} tokens") {
                parser.parse(Payload.of(body(case.fields))).get()?.maximumTokens shouldBe case.maximumTokens
            }
        }

        test("a token limit above the model's maximum is lowered in the body sent to the target") {
            val requested = ""","max_tokens":2147483647,"max_completion_tokens":7,"stop":"x""""
            val lowered = ""","max_tokens":100,"max_completion_tokens":7,"stop":"x""""
            parser.parse(Payload.of(body(requested))).get()?.body shouldBe Payload.of(body(lowered))
        }

        data class RefusalCase(
            val name: String,
            val body: String,
            val explanation: String,
        )
        val deep = "[".repeat(20_000) + "]".repeat(20_000)
        listOf(
            RefusalCase("invalid JSON", "{", NOT_AN_OBJECT),
            RefusalCase("20,000 levels in a field", body(""","metadata":$deep"""), NOT_AN_OBJECT),
            RefusalCase("20,000 levels only", deep, NOT_AN_OBJECT),
            RefusalCase("a negative number", body(""","max_tokens":-5"""), notACount("max_tokens", "-5")),
            RefusalCase("zero", body(""","max_completion_tokens":0"""), notACount("max_completion_tokens", "0")),
            RefusalCase("a huge number", body(""","max_tokens":1e99"""), notACount("max_tokens", "1e99")),
            RefusalCase("a fraction", body(""","n":1.5"""), notACount("n", "1.5")),
            RefusalCase("a number as text", body(""","n":"2""""), notACount("n", "\"2\"")),
            RefusalCase("a list as number", body(""","n":[]"""), notACount("n", "[]")),
        ).forEach { case ->
            test("a body with ${case.name} is refused with the field and its value") {
                parser.parse(Payload.of(case.body)).getError()?.explanation shouldBe case.explanation
            }
        }
    }) {
    private companion object {
        const val NOT_AN_OBJECT = "The body is not a JSON object of at most 128 levels."

        fun notACount(
            field: String,
            value: String,
        ) = "The field $field is not a whole number above 0: $value"
    }
}
