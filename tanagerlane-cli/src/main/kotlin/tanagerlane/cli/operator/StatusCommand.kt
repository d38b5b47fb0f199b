package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.Context
import com.github.michaelbull.result.mapError
import tanagerlane.inventory.Configuration
import tanagerlane.membership.Member
import tanagerlane.runtime.MemberRegistration
import tanagerlane.runtime.configuration.ConfigurationFailure

/** Shows the configuration in force and the processes that are registered. */
internal class StatusCommand(
    openStore: StoreFactory,
) : OperatorCommand("status", openStore) {
    override fun help(context: Context): String =
        "Show the revision in force, who holds it and which processes are registered."

    override suspend fun execute() {
        val configuration = configurations.read().orFail().configuration
        showConfiguration(configuration)
        for (holding in configurations.confirmations().orFail()) {
            echo("failure domain ${holding.domain}: holds revision ${holding.revision}")
        }
        members().sortedWith(compareBy({ it.role }, { it.host.text })).forEach { echo(lineOf(it)) }
    }

    private fun showConfiguration(configuration: Configuration) {
        val inventory = configuration.inventory
        echo("deployment: ${inventory.deployment}")
        echo("revision: ${configuration.revision}, inventory of revision ${configuration.inventoryRevision}")
        echo("targets: ${inventory.targets.size}, of which leaving: ${inventory.targets.count { it.leaving }}")
        echo("workspaces: ${inventory.workspaces.size}, keys: ${configuration.keys.size}")
    }

    private suspend fun members(): List<Member> {
        val listing = store.list(MemberRegistration.PREFIX).mapError { ConfigurationFailure.NotRead(it) }.orFail()
        return MemberRegistration.membersIn(listing.objects)
    }

    private fun lineOf(member: Member): String {
        val draining = if (member.draining) ", draining" else ""
        return "${member.role.name.lowercase()} ${member.host}: ${member.address}, ${member.failureDomain}$draining"
    }
}
