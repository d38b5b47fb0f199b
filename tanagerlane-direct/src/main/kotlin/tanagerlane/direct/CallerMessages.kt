package tanagerlane.direct

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent

/**
 * Tells [gate] where requests and answers begin and end; stands behind the HTTP codec.
 *
 * Small chunks of a body that are read at once are passed on as one, since each piece passes through several handlers.
 */
internal class CallerMessages(
    private val gate: CallerGate,
) : ChannelDuplexHandler() {
    /** Small chunks that were decoded and not passed on yet, or null. */
    private var joined: ByteBuf? = null

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) gate.onRequest(message)
        if (message is HttpContent) gate.body.arrived(message.content().readableBytes())
        if (message is LastHttpContent) gate.onRequestEnd()
        if (message is HttpContent && isSmallChunk(message)) {
            join(message)
        } else {
            passJoined(context)
            context.fireChannelRead(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        passJoined(context)
        context.fireChannelReadComplete()
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        joined?.release()
        joined = null
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

    private fun isSmallChunk(content: HttpContent): Boolean =
        content !is LastHttpContent && content.content().readableBytes() <= SMALL_CHUNK_BYTES

    private fun join(content: HttpContent) {
        val bytes = joined ?: Unpooled.buffer().also { joined = it }
        bytes.writeBytes(content.content())
        content.release()
    }

    private fun passJoined(context: ChannelHandlerContext) {
        val bytes = joined ?: return
        joined = null
        context.fireChannelRead(DefaultHttpContent(bytes))
    }

    private companion object {
        /** Size up to which copying a chunk costs less than passing it on, in bytes. */
        const val SMALL_CHUNK_BYTES = 256
    }
}
