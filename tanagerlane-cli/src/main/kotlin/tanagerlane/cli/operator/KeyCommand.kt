package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import tanagerlane.inventory.CallerKey
import tanagerlane.keys.PresentedKey
import tanagerlane.model.WorkspaceName

/** Groups the commands on callers' keys. */
internal class KeyCommand(
    openStore: StoreFactory,
) : NoOpCliktCommand(name = "key") {
    init {
        subcommands(KeyIssueCommand(openStore), KeyWithdrawCommand(openStore), KeyListCommand(openStore))
    }

    override fun help(context: Context): String = "Issue, withdraw and list callers' keys."
}

private class KeyIssueCommand(
    openStore: StoreFactory,
) : OperatorCommand("issue", openStore) {
    private val workspace by option("--workspace", help = "workspace that the key speaks for").required()
    private val label by option("--label", help = "what operators call the key, unique within its workspace").required()
    private val confirm by confirmOption()

    override fun help(context: Context): String = "Issue a key; it is shown once and stored only as a digest."

    override suspend fun execute() {
        val key = PresentedKey.of(randomBytes(PresentedKey.RANDOM_BYTES))
        val revision = configurations.issueKey(CallerKey(key.digest(), WorkspaceName(workspace), label)).orFail()
        echo("key: ${key.text}")
        echo("revision: $revision")
        confirm?.let { configurations.awaitConfirmation(revision, it).orFail() }
    }
}

private class KeyWithdrawCommand(
    openStore: StoreFactory,
) : OperatorCommand("withdraw", openStore) {
    private val workspace by option("--workspace", help = "workspace of the key").required()
    private val label by option("--label", help = "label of the key").required()
    private val confirm by confirmOption()

    override fun help(context: Context): String = "Withdraw a key, also from callers that are connected."

    override suspend fun execute() {
        val revision = configurations.withdrawKey(WorkspaceName(workspace), label).orFail()
        confirm?.let { configurations.awaitConfirmation(revision, it).orFail() }
        echo("revision: $revision")
    }
}

private class KeyListCommand(
    openStore: StoreFactory,
) : OperatorCommand("list", openStore) {
    override fun help(context: Context): String = "List the valid keys by workspace, label and digest."

    override suspend fun execute() {
        val keys =
            configurations
                .read()
                .orFail()
                .configuration.keys
        keys
            .sortedWith(
                compareBy({
                    it.workspace.text
                }, { it.label }),
            ).forEach { echo("${it.workspace}  ${it.label}  ${it.digest}") }
    }
}
