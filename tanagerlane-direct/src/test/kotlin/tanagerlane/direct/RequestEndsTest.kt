package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withContext
import tanagerlane.direct.EndsRow.Point
import tanagerlane.standin.FreePorts
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/**
 * Each request that was read whole ends with a complete answer or a refusal, one that was refused as not run has no
 * effect, and an answer that has begun is cut only if its target broke off or the stop time ran out.
 */
class RequestEndsTest :
    FunSpec({
        val dispatcher = Executors.newCachedThreadPool().asCoroutineDispatcher()
        afterSpec { dispatcher.close() }

        // Each row has an address of its own, as the ports that a test run may take are few.
        val ports = List(2) { List(3) { FreePorts.next() } }
        val rows = AtomicInteger()

        suspend fun play(row: EndsRow): List<String> {
            val address = rows.incrementAndGet().let { "127.0.${1 + it / ADDRESSES}.${1 + it % ADDRESSES}" }
            val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(2))
            try {
                return EndsScene(row, vertx, address, ports).play()
            } catch (failure: Throwable) {
                return listOf("not played: $failure")
            } finally {
                vertx.close().coAwait()
            }
        }

        suspend fun playAll(tested: List<EndsRow>) {
            val permits = Semaphore(ROWS_AT_ONCE)
            val violations =
                withContext(dispatcher) {
                    tested.map { row -> async { permits.withPermit { row to play(row) } } }.awaitAll()
                }
            violations.toMap().filterValues { it.isNotEmpty() } shouldBe emptyMap()
        }

        for ((group, tested) in Point.entries.flatMap(EndsRow::at).groupBy { it.group }) {
            test("requests end whatever happens at $group") { playAll(tested) }
        }

        for (point in Point.entries - Point.READ - Point.STORE) {
            test("requests at $point end beside changes of the configuration, alone and before a stop") {
                playAll(EndsRow.besideConfigurations(point))
            }
        }
    }) {
    private companion object {
        const val ADDRESSES = 250
        const val ROWS_AT_ONCE = 24
    }
}
