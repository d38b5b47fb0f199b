package tanagerlane.direct

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent

/** Tells [gate] where requests and answers begin and end; stands behind the HTTP codec. */
internal class CallerMessages(
    private val gate: CallerGate,
) : ChannelDuplexHandler() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) gate.onRequest(message)
        if (message is HttpContent) gate.body.arrived(message.content().readableBytes())
        if (message is LastHttpContent) gate.onRequestEnd()
        context.fireChannelRead(message)
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message !is LastHttpContent) {
            context.write(message, promise)
            return
        }
        val written = promise.unvoid()
        written.addListener { if (it.isSuccess) gate.onAnswerWritten() }
        context.write(message, written)
    }
}
