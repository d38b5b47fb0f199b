package tanagerlane.runtime.logs

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * Sets logging up without a configuration file, whose parsing is a quarter of the time that a process takes to start.
 *
 * Lines go to standard output through a bounded queue that never blocks; `TANAGERLANE_LOG_LEVEL` sets the level.
 */
public class LogSetup :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        QUIET_LIBRARIES.forEach { (name, level) -> context.getLogger(name).level = level }
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(queued(context, console(context)))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun console(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val layout = LogLineLayout().also { it.context = context }
        layout.start()
        val encoder = LayoutWrappingEncoder<ILoggingEvent>().also { it.context = context }
        encoder.layout = layout
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>().also { it.context = context }
        console.encoder = encoder
        console.start()
        return console
    }

    private fun queued(
        context: LoggerContext,
        console: ConsoleAppender<ILoggingEvent>,
    ): AsyncAppender {
        val queued = AsyncAppender().also { it.context = context }
        queued.queueSize = QUEUED_LINES
        queued.discardingThreshold = RESERVED_LINES
        queued.isNeverBlock = true
        queued.addAppender(console)
        queued.start()
        return queued
    }

    private companion object {
        const val LEVEL_VARIABLE = "TANAGERLANE_LOG_LEVEL"
        const val QUEUED_LINES = 1024

        /** Free places in the queue below which lines of level INFO and lower are dropped. */
        const val RESERVED_LINES = 256
        val QUIET_LIBRARIES = mapOf("io.netty" to Level.ERROR, "io.vertx" to Level.WARN, "io.ktor" to Level.WARN)
    }
}
