package tanagerlane.runtime.orders

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import tanagerlane.model.Revision
import tanagerlane.model.TargetName
import tanagerlane.orders.DraftStep
import tanagerlane.orders.OrderDraft
import tanagerlane.orders.StoredOrder
import tanagerlane.runtime.StoredDocuments
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject

/** Targets' orders in the object API. */
public class OrderStore(
    private val store: ObjectStore,
) {
    /** Reads the order for [target]. */
    public suspend fun read(target: TargetName): Result<ReadOrder, OrderFailure> =
        store.get(keyOf(target)).mapBoth(
            success = ::decode,
            failure = {
                if (it is StoreFailure.NotFound) Ok(ReadOrder(null, null)) else Err(OrderFailure.NotRead(it))
            },
        )

    /** Stores [draft] unless another operator's change has come first; a sidecar's claim does not count as one. */
    public suspend fun make(draft: OrderDraft): Result<Revision, OrderFailure> {
        var unsure = false
        repeat(ATTEMPTS) {
            val current = read(draft.target).getOrElse { return Err(if (unsure) OrderFailure.OutcomeUnknown else it) }
            val next =
                when (val step = draft.decide(current.order)) {
                    is DraftStep.AlreadyStored -> return Ok(step.revision)
                    is DraftStep.Conflict -> return Err(overtaken(draft, step, unsure))
                    is DraftStep.Write -> step.order
                }
            val failure = put(next, current.version).mapBoth({ return Ok(next.revision) }, { it })
            unsure = unsure || failure is StoreFailure.OutcomeUnknown
            if (!unsure && failure !is StoreFailure.Conflict) {
                return Err(OrderFailure.NotMade(failure))
            }
        }
        return Err(OrderFailure.OutcomeUnknown)
    }

    /** Writes [order]; a lost answer is settled by reading back. */
    public suspend fun write(
        order: StoredOrder,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreFailure> {
        val failure = put(order, expected).mapBoth({ return Ok(it) }, { it })
        if (failure !is StoreFailure.OutcomeUnknown) {
            return Err(failure)
        }
        val found = read(order.target).getOrElse { return Err(failure) }
        val version = found.version
        return if (found.order == order && version != null) Ok(version) else Err(failure)
    }

    private fun overtaken(
        draft: OrderDraft,
        step: DraftStep.Conflict,
        unsure: Boolean,
    ): OrderFailure {
        val certain = !unsure || step.current.number <= draft.base.number + 1
        return if (certain) OrderFailure.Conflict(draft.base, step.current) else OrderFailure.OutcomeUnknown
    }

    private suspend fun put(
        order: StoredOrder,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> =
        store.put(keyOf(order.target), StoredDocuments.encode(StoredOrder.serializer(), order), expected)

    private fun decode(stored: StoredObject): Result<ReadOrder, OrderFailure> =
        StoredDocuments
            .decode(StoredOrder.serializer(), stored.value)
            .map { ReadOrder(it, stored.version) }
            .mapError { OrderFailure.Unreadable(it) }

    public companion object {
        private const val ATTEMPTS = 5

        /** Returns where the order for [target] is stored. */
        public fun keyOf(target: TargetName): ObjectKey = ObjectKey("orders/${target.text}")
    }
}
