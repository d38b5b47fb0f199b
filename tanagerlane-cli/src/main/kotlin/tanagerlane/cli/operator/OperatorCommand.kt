package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import tanagerlane.runtime.configuration.ConfigurationFailure
import tanagerlane.runtime.configuration.ConfigurationStore
import tanagerlane.store.ObjectStore
import java.security.SecureRandom
import java.util.HexFormat
import kotlin.time.Duration

/** Opens the object API at a base URL. */
internal typealias StoreFactory = (String) -> ObjectStore

/** A command of operators that works on the object API. */
internal abstract class OperatorCommand(
    name: String,
    private val openStore: StoreFactory,
) : CliktCommand(name = name) {
    private val objectApi by option(
        "--object-api",
        envvar = "TANAGERLANE_OBJECT_API",
        help = "base URL of the platform's object API; or TANAGERLANE_OBJECT_API",
    ).required()

    protected val store: ObjectStore by lazy { openStore(objectApi.trimEnd('/')) }

    protected val configurations: ConfigurationStore by lazy { ConfigurationStore(store, ::newIdentity) }

    final override fun run(): Unit = runBlocking { execute() }

    protected abstract suspend fun execute()

    /** Returns the value, or ends the command with one line about the failure. */
    protected fun <T> Result<T, ConfigurationFailure>.orFail(): T = getOrElse { fail(listOf(explanationOf(it))) }
}

/** Ends a command with [lines] on standard error. */
internal fun fail(lines: List<String>): Nothing =
    throw PrintMessage(lines.joinToString("\n"), statusCode = 1, printError = true)

/** Declares the option to wait until the change is in force. */
internal fun CliktCommand.confirmOption() =
    option("--confirm", help = "wait up to this time, such as 10s, until most failure domains hold the change")
        .convert { text -> Duration.parseOrNull(text) ?: fail("$text is not a duration such as 10s") }

/** Returns [size] bytes from a cryptographic generator. */
internal fun randomBytes(size: Int): ByteArray = ByteArray(size).also { SecureRandom().nextBytes(it) }

/** Draws the identity of one change. */
internal fun newIdentity(): String = HexFormat.of().formatHex(randomBytes(IDENTITY_BYTES))

private const val IDENTITY_BYTES = 8
