package tanagerlane.standin.engine

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.toList
import tanagerlane.model.RequestId
import tanagerlane.standin.http.answer
import tanagerlane.standin.http.answerFailure
import tanagerlane.standin.http.json
import tanagerlane.standin.http.read
import java.util.UUID

/** Chat completions, streamed and whole. */
internal class ChatEndpoint(
    private val runner: EngineRunner,
    private val models: List<String>,
    private val count: (RequestId, (RunCount) -> RunCount) -> Unit,
) {
    suspend fun serve(routing: RoutingContext) {
        val request = routing.read(ChatRequest.serializer())
        if (request.model !in models) {
            return routing.answerFailure(NOT_FOUND, "model_not_found", "no such model: ${request.model}")
        }
        if (request.maximumTokens <= 0 || request.resumeTokens !in 0 until request.maximumTokens) {
            return routing.answerFailure(BAD_REQUEST, "invalid_request_error", "token numbers out of range")
        }
        val id = RequestId(routing.request().getHeader("x-request-id") ?: UUID.randomUUID().toString())
        val run = EngineRequest(id, request.prompt, request.maximumTokens, request.resumeTokens)
        val tokens = runner.submit(run) ?: return routing.answerFailure(CONFLICT, "duplicate", "request $id runs")
        count(id) {
            if (request.resumeTokens ==
                0
            ) {
                it.copy(starts = it.starts + 1)
            } else {
                it.copy(resumes = it.resumes + 1)
            }
        }
        routing.response().closeHandler { runner.abandon(id, tokens) }
        if (request.stream) {
            stream(
                routing.response(),
                run,
                request.model,
                tokens,
            )
        } else {
            whole(routing, run, request.model, tokens)
        }
    }

    private suspend fun whole(
        routing: RoutingContext,
        run: EngineRequest,
        model: String,
        tokens: ReceiveChannel<EngineToken>,
    ) {
        val received = tokens.toList()
        if (received.lastOrNull()?.last != true) {
            return routing.answerFailure(CANCELLED, "cancelled", "request ${run.id} was cancelled")
        }
        count(run.id) { it.copy(finished = it.finished + 1) }
        val text = received.joinToString("") { it.text }
        val choice = ChatAnswer.Choice(message = ChatAnswer.Message(ASSISTANT, text), finishReason = LENGTH)
        routing.answer(ChatAnswer.serializer(), answer(run, model, "chat.completion", choice, usage(run)))
    }

    private suspend fun stream(
        response: HttpServerResponse,
        run: EngineRequest,
        model: String,
        tokens: ReceiveChannel<EngineToken>,
    ) {
        response.setChunked(true).putHeader("content-type", "text/event-stream")
        var complete = false
        for (token in tokens) {
            if (token.number == 0) {
                response.write(event(answer(run, model, CHUNK, delta(ChatAnswer.Message(ASSISTANT, "")))))
            }
            response.write(event(answer(run, model, CHUNK, delta(ChatAnswer.Message(content = token.text)))))
            complete = token.last
        }
        if (complete) {
            count(run.id) { it.copy(finished = it.finished + 1) }
            response.write(event(answer(run, model, CHUNK, delta(ChatAnswer.Message(), LENGTH), usage(run))))
            response.end("data: [DONE]\n\n")
        } else {
            response.end()
        }
    }

    private fun delta(
        message: ChatAnswer.Message,
        finishReason: String? = null,
    ) = ChatAnswer.Choice(delta = message, finishReason = finishReason)

    private fun answer(
        run: EngineRequest,
        model: String,
        kind: String,
        choice: ChatAnswer.Choice,
        usage: ChatAnswer.Usage? = null,
    ) = ChatAnswer(
        id = "chatcmpl-${run.id}",
        kind = kind,
        created = System.currentTimeMillis() / MILLISECONDS_PER_SECOND,
        model = model,
        choices = listOf(choice),
        usage = usage,
    )

    private fun usage(run: EngineRequest) = ChatAnswer.Usage(run.prompt.size, run.maximumTokens)

    private fun event(answer: ChatAnswer): Buffer =
        Buffer.buffer("data: ${json.encodeToString(ChatAnswer.serializer(), answer)}\n\n")

    private companion object {
        const val ASSISTANT = "assistant"
        const val CHUNK = "chat.completion.chunk"
        const val LENGTH = "length"
        const val MILLISECONDS_PER_SECOND = 1000L
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val CANCELLED = 499
    }
}
