package tanagerlane.direct

import com.github.michaelbull.result.Result
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that end without an answer because something other than their caller cancelled them. */
class CancelledRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("a request that is cancelled from within is answered as failed") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val port = deployment.start("entry-1", "entry", ownStore = CancellingStore(deployment.store)).port

            suspend fun send(
                path: String,
                id: String,
            ) = withContext(Dispatchers.IO) { RawCaller.send(port, path, id) }
            eventually(10.seconds) { send("/streams/1", "first")?.status shouldBe 200 }
            listOf("/results/lost", "/items/lost?id=1", "/ends/lost").associateWith { send(it, "job")?.status } shouldBe
                listOf("/results/lost", "/items/lost?id=1", "/ends/lost").associateWith { 500 }
        }
    })

/** An object API of which the reads of single objects are cancelled. */
private class CancellingStore(
    private val store: ObjectStore,
) : ObjectStore by store {
    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
        throw CancellationException("read of $key was cancelled")
}
