package tanagerlane.joblog

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonPrimitive

/** Guards against sizes that count characters where bytes are limited. */
class TextSizeTest :
    FunSpec({
        val characters = (0..0xd7ff) + (0xe000..0xffff) + listOf(0x10000, 0x1f600, 0x10ffff)

        test("every character has the size that its encodings have") {
            val wrong =
                characters.map { Character.toString(it) }.filterNot { text ->
                    TextSize.utf8(text) == text.encodeToByteArray().size &&
                        TextSize.json(text) + 2 == JsonPrimitive(text).toString().encodeToByteArray().size
                }
            wrong shouldBe emptyList()
        }
    })
