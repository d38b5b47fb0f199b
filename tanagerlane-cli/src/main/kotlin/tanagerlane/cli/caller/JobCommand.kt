package tanagerlane.cli.caller

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import tanagerlane.job.JobPhase
import kotlin.time.Instant

/** Groups the commands on batch jobs. */
internal class JobCommand : NoOpCliktCommand(name = "job") {
    init {
        subcommands(JobSubmitCommand(), JobStatusCommand(), JobResultsCommand(), JobCancelCommand())
    }

    override fun help(context: Context): String = "Submit, watch, read and cancel batch jobs."
}

private class JobSubmitCommand : CallerCommand("submit") {
    private val file by argument(help = "file of items, one JSON document a line")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val due by option("--due", help = "time by which results are wanted, in ISO 8601; a day from now if absent")
        .convert { text -> Instant.parseOrNull(text) ?: fail("$text is not a time such as 2026-01-31T06:00:00Z") }

    override fun help(context: Context): String = "Submit a job; the same job may be submitted again."

    override suspend fun execute(entry: EntryClient) {
        val document = entry.submit(job, due, file).orFail()
        showAccepted(document)
    }
}

private class JobStatusCommand : CallerCommand("status") {
    override fun help(context: Context): String = "Show where a job stands."

    override suspend fun execute(entry: EntryClient) {
        show(entry.status(job).orFail())
    }
}

private class JobResultsCommand : CallerCommand("results") {
    override fun help(context: Context): String = "Print the results so far as JSON lines."

    /** The status is read first, so that results said to be whole can't lack any. */
    override suspend fun execute(entry: EntryClient) {
        val phase = entry.status(job).orFail().phase
        var cursor: String? = null
        do {
            val page = entry.results(job, cursor).orFail()
            echo(page.lines, trailingNewline = false)
            cursor = page.next
        } while (cursor != null)
        if (phase != JobPhase.FINISHED) {
            echo("tanagerlane: the job is ${phase.name.lowercase()}; these are its results so far", err = true)
        }
    }
}

private class JobCancelCommand : CallerCommand("cancel") {
    override fun help(context: Context): String = "Cancel a job; results so far stay readable."

    override suspend fun execute(entry: EntryClient) {
        show(entry.cancel(job).orFail())
    }
}
