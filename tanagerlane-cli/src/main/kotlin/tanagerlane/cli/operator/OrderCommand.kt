package tanagerlane.cli.operator

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import tanagerlane.model.ModelName
import tanagerlane.model.Revision
import tanagerlane.model.TargetName
import tanagerlane.orders.OrderDraft
import tanagerlane.orders.StoredOrder
import tanagerlane.orders.WantedState
import tanagerlane.runtime.orders.OrderFailure
import tanagerlane.runtime.orders.OrderStore

/** Groups the commands on orders to targets. */
internal class OrderCommand(
    openStore: StoreFactory,
) : NoOpCliktCommand(name = "order") {
    init {
        subcommands(OrderApplyCommand(openStore), OrderShowCommand(openStore))
    }

    override fun help(context: Context): String = "Order a target to change what it serves, and show the order."
}

private class OrderApplyCommand(
    openStore: StoreFactory,
) : OperatorCommand("apply", openStore) {
    private val target by argument(help = "target of the order")
    private val model by option("--model", help = "model to load")
    private val adapter by option("--adapter", help = "adapter to load")
    private val version by option("--version", help = "version to load")
    private val role by option("--role", help = "role to take")
    private val base by option("--base", help = "revision of the order that this one follows; 0 for none").long()

    override fun help(context: Context): String = "Store an order; the target's sidecar carries it out."

    override suspend fun execute() {
        val wanted = WantedState(model?.let(::ModelName), adapter, version, role)
        if (wanted == WantedState()) {
            fail(listOf("tanagerlane: the order asks for nothing"))
        }
        val orders = OrderStore(store)
        val name = knownTarget(target)
        val seen =
            base?.let(::Revision) ?: orders
                .read(name)
                .orStop()
                .order
                ?.revision ?: Revision(0)
        val revision = orders.make(OrderDraft(name, newIdentity(), wanted, seen)).orStop()
        echo("revision: $revision")
    }

    private suspend fun knownTarget(text: String): TargetName {
        val targets =
            configurations
                .read()
                .orFail()
                .configuration.inventory.targets
        val found = targets.find { it.name.text == text } ?: fail(listOf("tanagerlane: no target is named $text"))
        return found.name
    }
}

private class OrderShowCommand(
    openStore: StoreFactory,
) : OperatorCommand("show", openStore) {
    private val target by argument(help = "target of the order").convert { text ->
        if (NAME.matches(text)) TargetName(text) else fail("$text is not the name of a target")
    }

    override fun help(context: Context): String = "Show the latest order for a target and how far it has come."

    override suspend fun execute() {
        val order = OrderStore(store).read(target).orStop().order
        show(order ?: fail(listOf("tanagerlane: there is no order for $target")))
    }

    private fun show(order: StoredOrder) {
        echo("revision: ${order.revision}")
        order.wanted.model?.let { echo("model: $it") }
        order.wanted.adapter?.let { echo("adapter: $it") }
        order.wanted.version?.let { echo("version: $it") }
        order.wanted.role?.let { echo("role: $it") }
        echo("phase: ${order.phase.name.lowercase()}")
        order.refusal?.let { echo("refused with ${it.status}: ${it.answer}") }
        order.lease?.let { echo("claimed by: ${it.holder.host}, incarnation ${it.holder.incarnation}") }
    }
}

private val NAME = Regex("[A-Za-z0-9._-]+")

private fun <T> Result<T, OrderFailure>.orStop(): T = getOrElse { fail(listOf("tanagerlane: ${reasonOf(it)}")) }

private fun reasonOf(failure: OrderFailure): String =
    when (failure) {
        is OrderFailure.Conflict -> {
            "another operator's order of revision ${failure.current} came after ${failure.base}; run order show"
        }

        is OrderFailure.Unreadable -> {
            "the stored order can't be read: ${failure.fault}"
        }

        is OrderFailure.NotRead -> {
            reasonOf(failure.failure)
        }

        is OrderFailure.NotMade -> {
            "nothing was changed: ${reasonOf(failure.failure)}"
        }

        OrderFailure.OutcomeUnknown -> {
            "the order may or may not have been stored; run order show"
        }
    }
