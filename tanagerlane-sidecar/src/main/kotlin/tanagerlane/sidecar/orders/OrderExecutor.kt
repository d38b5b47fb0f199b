package tanagerlane.sidecar.orders

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.model.TargetName
import tanagerlane.orders.HeldOrder
import tanagerlane.orders.OrderClaims
import tanagerlane.orders.OrderHolder
import tanagerlane.orders.OrderLeaseTimes
import tanagerlane.orders.OrderObservation
import tanagerlane.orders.OrderStep
import tanagerlane.orders.StoredOrder
import tanagerlane.runtime.PrefixWatcher
import tanagerlane.runtime.StoredDocuments
import tanagerlane.runtime.orders.OrderStore
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Executes the orders for one target, one call at a time: stores a claim before each call and the outcome after it.
 *
 * @param checksFencing whether the target is known to refuse outdated fencing numbers
 */
internal class OrderExecutor(
    private val target: TargetName,
    holder: OrderHolder,
    private val store: ObjectStore,
    private val send: OrderCall,
    private val checksFencing: () -> Boolean,
    private val now: () -> Instant,
    private val times: OrderLeaseTimes = OrderLeaseTimes(),
) {
    private val orders = OrderStore(store)
    private val claims = OrderClaims(holder, times)
    private val key = OrderStore.keyOf(target)
    private val latest = MutableStateFlow<StoredObject?>(null)
    private var observation = OrderObservation(ObjectVersion.NONE, now())
    private var lastWrittenVersion = ObjectVersion.NONE

    /** Watches the target's order and executes it; returns only by cancellation. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { PrefixWatcher(store, key.path).follow { latest.value = it[key] } }
            while (true) {
                val observed = latest.value
                val timeout = if (observed == null) Duration.INFINITE else performStep(observed)
                withTimeoutOrNull(timeout) { latest.first { it?.version != observed?.version } }
            }
        }

    /** Performs the next step and returns the delay after which the same version is evaluated again. */
    private suspend fun performStep(observed: StoredObject): Duration {
        observation = observation.observed(observed.version, now())
        val order =
            StoredDocuments
                .decode(StoredOrder.serializer(), observed.value)
                .getOrElse { return onUnreadable(observed) }
        if (observed.version < lastWrittenVersion) {
            return RETRY_INTERVAL
        }
        return when (val step = claims.nextStep(order, observation, checksFencing(), now())) {
            OrderStep.Idle -> {
                Duration.INFINITE
            }

            is OrderStep.Wait -> {
                step.remaining
            }

            is OrderStep.Claim -> {
                claim(step.order, observed.version)?.let { sendClaimed(it) }
                RETRY_INTERVAL
            }
        }
    }

    private suspend fun claim(
        order: StoredOrder,
        expected: ObjectVersion,
    ): HeldOrder? {
        val writeStartedAt = now()
        val version = write(order, expected) { return null }
        return claims.heldOrder(order, version, writeStartedAt)
    }

    private suspend fun sendClaimed(held: HeldOrder) {
        val outcome = send(held.fenced, times.callTimeout) { held.maySend(now()) }
        logger.info(
            "order call ended revision={} target={} fencing={} outcome={}",
            held.order.revision,
            target,
            held.version,
            outcome,
        )
        held.orderAfter(outcome)?.let { record(it, held.version) }
        delay(held.delayAfter(outcome, checksFencing(), now()))
    }

    /** Stores an outcome; retries until it is stored or the order has changed. */
    private suspend fun record(
        order: StoredOrder,
        expected: ObjectVersion,
    ) {
        while (true) {
            write(order, expected) { failure ->
                if (failure is StoreFailure.Conflict) {
                    return
                }
                delay(RETRY_INTERVAL)
                continue
            }
            return
        }
    }

    private suspend inline fun write(
        order: StoredOrder,
        expected: ObjectVersion,
        onFailure: (StoreFailure) -> Nothing,
    ): ObjectVersion {
        val version = orders.write(order, expected).mapBoth({ it }, { onFailure(it) })
        lastWrittenVersion = version
        return version
    }

    private fun onUnreadable(observed: StoredObject): Duration {
        logger.warn("order unreadable version={} target={}", observed.version, target)
        return Duration.INFINITE
    }

    private companion object {
        val RETRY_INTERVAL = 1.seconds
        val logger = LoggerFactory.getLogger(OrderExecutor::class.java)
    }
}
