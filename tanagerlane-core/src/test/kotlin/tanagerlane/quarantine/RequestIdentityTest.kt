package tanagerlane.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.PromptPart

class RequestIdentityTest :
    FunSpec({
        test("requests have the same digest only if all that identifies them is the same") {
            fun digest(
                caller: String? = "w",
                method: String = "POST",
                host: String = "h",
                uri: String = "/a",
                body: String = "b",
                vararg parts: String,
            ) = RequestIdentity(caller, method, host, uri, body.encodeToByteArray(), parts.map(::PromptPart)).digest()
            val digests =
                listOf(
                    digest(),
                    digest(caller = "x"),
                    digest(caller = null),
                    digest(method = "PUT"),
                    digest(host = "i"),
                    digest(uri = "/b"),
                    digest(body = "c"),
                    digest(parts = arrayOf("p", "q")),
                    digest(parts = arrayOf("p", "r")),
                    digest(parts = arrayOf("pq")),
                    digest(host = "h/", uri = "a"),
                    digest(uri = "/ab", body = ""),
                )
            digests.toSet().size shouldBe digests.size
            digest() shouldBe digests.first()
            digests.map { it.text.length }.toSet() shouldBe setOf(32)
        }
    })
