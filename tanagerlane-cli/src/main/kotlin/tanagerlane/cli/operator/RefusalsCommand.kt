package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.WorkspaceName
import tanagerlane.refusals.RefusalAudit
import tanagerlane.runtime.StoredDocuments
import tanagerlane.runtime.configuration.ConfigurationFailure
import kotlin.time.Instant

/** Shows the stored refusals: minutes for each workspace, and requests by reason and run state. */
internal class RefusalsCommand(
    openStore: StoreFactory,
) : OperatorCommand("refusals", openStore) {
    private val workspace by option("--workspace", help = "only refusals of this workspace")
    private val since by option("--since", help = "only refusals from the minute of this time, in ISO 8601")
        .convert { text -> Instant.parseOrNull(text) ?: fail("$text is not a time such as 2026-01-31T06:00:00Z") }

    override fun help(context: Context): String = "Show minutes of refusal and refused requests by workspace."

    override suspend fun execute() {
        val listing = store.list(PREFIX).mapError { ConfigurationFailure.NotRead(it) }.orFail()
        val stored = mutableListOf<RefusalMinute>()
        val faults = mutableListOf<String>()
        for (found in listing.objects) {
            StoredDocuments
                .decode(RefusalMinute.serializer(), found.value)
                .onOk { stored += it.copy(tallies = it.tallies.filter(::isWanted)) }
                .onErr { faults += "tanagerlane: not counted, since it can't be read: ${found.key}" }
        }
        show(stored)
        if (faults.isNotEmpty()) {
            fail(faults)
        }
    }

    private fun isWanted(tally: RefusalTally): Boolean {
        val sinceMinute = since?.let { it.epochSeconds.floorDiv(SECONDS_PER_MINUTE) }
        val isOfWorkspace = workspace == null || tally.workspace?.text == workspace
        return isOfWorkspace && (sinceMinute == null || tally.minute >= sinceMinute)
    }

    private fun show(stored: List<RefusalMinute>) {
        val minutes = RefusalAudit.minutesRefused(stored)
        val tallies = stored.flatMap { it.tallies }.groupBy { it.workspace }
        if (tallies.isEmpty()) {
            echo("no such refusals are stored")
        }
        for ((name, ofWorkspace) in tallies.entries.sortedBy { it.key?.text.orEmpty() }) {
            echo(headingOf(name, minutes, ofWorkspace.sumOf { it.count }))
            countsOf(ofWorkspace).forEach { echo("  $it") }
        }
    }

    private fun headingOf(
        name: WorkspaceName?,
        minutes: Map<WorkspaceName, Int>,
        requests: Long,
    ): String =
        if (name == null) {
            "no workspace: requests refused: $requests"
        } else {
            "workspace $name: minutes of refusal: ${minutes[name] ?: 0}, requests refused: $requests"
        }

    private fun countsOf(tallies: List<RefusalTally>): List<String> =
        tallies
            .groupBy { "${it.reason.name.lowercase()}, ${it.runState.name.lowercase()}" }
            .map { (kind, ofKind) -> "$kind: ${ofKind.sumOf { it.count }}" }
            .sorted()

    private companion object {
        const val PREFIX = "refusals/"
        const val SECONDS_PER_MINUTE = 60L
    }
}
