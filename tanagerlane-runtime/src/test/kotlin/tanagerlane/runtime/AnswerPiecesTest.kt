package tanagerlane.runtime

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Handler
import io.vertx.core.Promise
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import java.io.IOException
import java.lang.reflect.Proxy

/** Ends of bodies that are reported before or after the outcome of the request's write. */
class AnswerPiecesTest :
    FunSpec({
        data class Case(
            val name: String,
            val isWhole: Boolean,
            val status: Int = 200,
            val method: HttpMethod = HttpMethod.POST,
            val headers: Map<String, String> = emptyMap(),
            val isWritten: Boolean = false,
        )

        fun <T> proxy(
            type: Class<T>,
            call: (method: String, arguments: List<Any?>) -> Any?,
        ): T =
            type.cast(
                Proxy.newProxyInstance(type.classLoader, arrayOf(type)) { _, method, arguments ->
                    call(method.name, arguments.orEmpty().toList())
                },
            )

        /** Returns an answer whose end handler goes to [setEnd]. */
        fun response(
            case: Case,
            setEnd: (Handler<Void?>) -> Unit,
        ): HttpClientResponse {
            val request = proxy(HttpClientRequest::class.java) { _, _ -> case.method }
            return proxy(HttpClientResponse::class.java) { name, arguments ->
                when (name) {
                    "getHeader" -> {
                        case.headers["${arguments.single()}"]
                    }

                    "statusCode" -> {
                        case.status
                    }

                    "request" -> {
                        request
                    }

                    "endHandler" -> {
                        @Suppress("UNCHECKED_CAST")
                        setEnd(arguments.single() as Handler<Void?>)
                        null
                    }

                    else -> {
                        null
                    }
                }
            }
        }

        val cases =
            listOf(
                Case("without a length whose request is written", isWhole = true, isWritten = true),
                Case("without a length whose request is not written", isWhole = false),
                Case(
                    "in chunks whose request is not written",
                    isWhole = true,
                    headers = mapOf("transfer-encoding" to "chunked"),
                ),
                Case(
                    "in another encoding whose request is not written",
                    isWhole = false,
                    headers = mapOf("transfer-encoding" to "identity"),
                ),
                Case(
                    "in an encoding whose name contains that of chunks, whose request is not written",
                    isWhole = false,
                    headers = mapOf("transfer-encoding" to "x-chunked"),
                ),
                Case(
                    "with a length whose request is not written",
                    isWhole = true,
                    headers = mapOf("content-length" to "0"),
                ),
                Case("without a body by its status whose request is not written", isWhole = true, status = 204),
                Case(
                    "without a body by its method whose request is not written",
                    isWhole = true,
                    method = HttpMethod.HEAD,
                ),
            )
        cases.forEach { case ->
            listOf(true, false).forEach { endsFirst ->
                val order = if (endsFirst) "before" else "after"

                test("an answer ${case.name} is whole: ${case.isWhole}, if it ends $order the outcome of the write") {
                    var end = Handler<Void?> { }
                    val written = Promise.promise<Void>()
                    val pieces = AnswerPieces()
                    pieces.listen(response(case) { end = it }, written.future())
                    val finishWrite = {
                        if (case.isWritten) written.complete() else written.fail(IOException("Broken pipe"))
                    }
                    if (endsFirst) {
                        end.handle(null)
                        finishWrite()
                    } else {
                        finishWrite()
                        end.handle(null)
                    }
                    val result = pieces.tryReceive()
                    result.isClosed shouldBe true
                    (result.exceptionOrNull() == null) shouldBe case.isWhole
                }
            }
        }
    })
