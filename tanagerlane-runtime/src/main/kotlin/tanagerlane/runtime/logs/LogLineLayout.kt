package tanagerlane.runtime.logs

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.LayoutBase
import kotlin.time.Instant

/** One line for an event: time in UTC, level, class and text; the stack of what was thrown follows on further lines. */
public class LogLineLayout : LayoutBase<ILoggingEvent>() {
    override fun doLayout(event: ILoggingEvent): String =
        buildString {
            append(Instant.fromEpochMilliseconds(event.timeStamp))
            append(' ').append(event.level.toString().padEnd(LEVEL_WIDTH))
            append(' ').append(event.loggerName.substringAfterLast('.'))
            append(' ').append(event.formattedMessage)
            append('\n')
            event.throwableProxy?.let { append(ThrowableProxyUtil.asString(it)) }
        }

    private companion object {
        const val LEVEL_WIDTH = 5
    }
}
