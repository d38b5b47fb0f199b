package tanagerlane.cli.caller

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.convert
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import tanagerlane.caller.JobDocument
import tanagerlane.cli.daemon.smallVertx
import tanagerlane.cli.operator.fail
import tanagerlane.keys.PresentedKey
import tanagerlane.model.JobId
import java.net.URI
import java.net.URISyntaxException

/** A command on one batch job that calls an entry with a caller's key. */
internal abstract class CallerCommand(
    name: String,
) : CliktCommand(name = name) {
    private val baseUrl by option(
        "--base-url",
        envvar = "TANAGERLANE_BASE_URL",
        help = "base URL of an entry; or TANAGERLANE_BASE_URL",
    ).convert { text -> text.trimEnd('/').takeIf(::isBaseUrl) ?: fail("$text is not an HTTP URL") }.required()

    private val key by option(
        "--key",
        envvar = "TANAGERLANE_KEY",
        help = "key of the workspace; or TANAGERLANE_KEY, which other users of the host don't see",
    ).convert { text -> if (isKey(text)) PresentedKey(text) else fail("the key is empty or has invalid characters") }
        .required()

    protected val job: JobId by argument(help = "name of the job").convert { JobId(it) }

    final override fun run(): Unit =
        runBlocking {
            val vertx = smallVertx()
            try {
                execute(EntryClient(baseUrl, key, vertx))
            } finally {
                vertx.close().coAwait()
            }
        }

    protected abstract suspend fun execute(entry: EntryClient)

    /** Returns the value, or ends the command with one line about the failure. */
    protected fun <T> Result<T, EntryFailure>.orFail(): T = getOrElse { fail(listOf(explanationOf(it))) }

    /** Shows what the answer to a submission tells, which doesn't count results. */
    protected fun showAccepted(document: JobDocument) {
        echo("job: ${document.job}")
        echo("phase: ${document.phase.name.lowercase()}")
        echo("due: ${document.due}, submitted: ${document.submittedAt}")
        echo("items: ${document.items}")
    }

    protected fun show(document: JobDocument) {
        showAccepted(document)
        echo("items with a result: ${document.done}, of which failed: ${document.failed}")
    }
}

private fun isBaseUrl(text: String): Boolean =
    try {
        val uri = URI(text)
        uri.scheme in setOf("http", "https") && uri.host != null && uri.query == null
    } catch (_: URISyntaxException) {
        false
    }

private fun isKey(text: String): Boolean = text.isNotEmpty() && text.all { it in '!'..'~' }
