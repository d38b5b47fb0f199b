package tanagerlane.standin.http

import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

internal val json = Json { ignoreUnknownKeys = true }

@Serializable
internal data class FailureBody(
    val error: Detail,
) {
    @Serializable
    data class Detail(
        val type: String,
        val message: String,
    )
}

internal fun <T> RoutingContext.read(serializer: KSerializer<T>): T =
    json.decodeFromString(serializer, body().asString() ?: "")

internal fun <T> RoutingContext.answer(
    serializer: KSerializer<T>,
    value: T,
) {
    response()
        .putHeader("content-type", "application/json")
        .end(Buffer.buffer(json.encodeToString(serializer, value)))
}

internal fun RoutingContext.answerFailure(
    status: Int,
    type: String,
    message: String,
) {
    response().setStatusCode(status)
    answer(FailureBody.serializer(), FailureBody(FailureBody.Detail(type, message)))
}
