package tanagerlane.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.ObjectStoreServer
import tanagerlane.standin.store.StoreFaults
import tanagerlane.store.Changes
import tanagerlane.store.Listing
import tanagerlane.store.ObjectChange
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Contract of the object API, held by the stand-in in memory and by the client over HTTP alike. */
class ObjectStoreContractTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        val key = ObjectKey("jobs/one")
        val first = Payload.of("first")
        val second = Payload.of(ByteArray(300) { it.toByte() })

        val cases =
            listOf(
                ContractCase("an object that was never written is not found") { store, _ ->
                    store.get(key) shouldBe Err(StoreFailure.NotFound(key))
                },
                ContractCase("a value is read back as it was written") { store, _ ->
                    store.put(key, second, null) shouldBe Ok(ObjectVersion(1))
                    store.get(key) shouldBe Ok(StoredObject(key, ObjectVersion(1), second))
                },
                ContractCase("a second creation conflicts") { store, _ ->
                    store.put(key, first, null)
                    store.put(key, second, null) shouldBe Err(StoreFailure.Conflict(key, ObjectVersion(1)))
                },
                ContractCase("an update needs the current version") { store, _ ->
                    store.put(key, first, null)
                    store.put(key, second, ObjectVersion(1)) shouldBe Ok(ObjectVersion(2))
                    store.put(key, first, ObjectVersion(1)) shouldBe Err(StoreFailure.Conflict(key, ObjectVersion(2)))
                },
                ContractCase("an update of an absent object conflicts") { store, _ ->
                    store.put(key, first, ObjectVersion(4)) shouldBe Err(StoreFailure.Conflict(key, null))
                },
                ContractCase("a deleted object can be created again under a higher version") { store, _ ->
                    store.put(key, first, null)
                    store.delete(key, ObjectVersion(1)) shouldBe Ok(Unit)
                    store.get(key) shouldBe Err(StoreFailure.NotFound(key))
                    store.put(key, second, null) shouldBe Ok(ObjectVersion(3))
                },
                ContractCase("a value over a megabyte is refused") { store, _ ->
                    val refused = store.put(key, Payload.of(ByteArray((1 shl 20) + 1)), null)
                    refused shouldBe Err(StoreFailure.TooLarge(key, 1 shl 20))
                },
                ContractCase("a listing holds what is below the prefix, in order") { store, _ ->
                    store.put(ObjectKey("b/2"), second, null)
                    store.put(ObjectKey("b/1"), first, null)
                    store.put(ObjectKey("c"), first, null)
                    val objects =
                        listOf(
                            StoredObject(ObjectKey("b/1"), ObjectVersion(2), first),
                            StoredObject(ObjectKey("b/2"), ObjectVersion(1), second),
                        )
                    store.list("b/") shouldBe Ok(Listing(objects, ObjectVersion(3)))
                },
                ContractCase("a watch returns the latest change of each object, deletions included") { store, _ ->
                    store.put(key, first, null)
                    store.put(key, second, ObjectVersion(1))
                    store.put(ObjectKey("jobs/two"), first, null)
                    store.delete(ObjectKey("jobs/two"), ObjectVersion(3))
                    val changes =
                        listOf(
                            ObjectChange(key, StoredObject(key, ObjectVersion(2), second)),
                            ObjectChange(ObjectKey("jobs/two"), null),
                        )
                    store.watch("jobs/", ObjectVersion(1), 60.seconds) shouldBe Ok(Changes(changes, ObjectVersion(4)))
                },
                ContractCase("a watch wakes when a change comes") { store, _ ->
                    coroutineScope {
                        val watch = async { store.watch("jobs/", ObjectVersion.NONE, 60.seconds) }
                        store.put(key, first, null)
                        watch
                            .await()
                            .get()
                            ?.changes
                            ?.single()
                            ?.current
                            ?.value shouldBe first
                    }
                },
                ContractCase("a watch without changes ends") { store, _ ->
                    store.watch("jobs/", ObjectVersion.NONE, Duration.ZERO) shouldBe
                        Ok(Changes(emptyList(), ObjectVersion.NONE))
                },
                ContractCase("calls fail without effect while the service is down") { store, memory ->
                    memory.faults = StoreFaults(down = true)
                    store.put(key, first, null).getError().shouldBeInstanceOf<StoreFailure.Unavailable>()
                    store.get(key).getError().shouldBeInstanceOf<StoreFailure.Unavailable>()
                    memory.faults = StoreFaults()
                    store.get(key) shouldBe Err(StoreFailure.NotFound(key))
                },
                ContractCase("a lost answer leaves the outcome unknown and the write in effect") { store, memory ->
                    memory.faults = StoreFaults(loseAnswers = true)
                    store.put(key, first, null).getError().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                    memory.faults = StoreFaults()
                    store.get(key) shouldBe Ok(StoredObject(key, ObjectVersion(1), first))
                },
            )

        cases.forEach { case ->
            test("in memory: ${case.name}") {
                val memory = MemoryObjectStore()
                case.check(memory, memory)
            }
            test("over HTTP: ${case.name}") {
                val memory = MemoryObjectStore()
                val server = ObjectStoreServer(memory, vertx)
                val port = server.start(port = 0)
                case.check(HttpObjectStore("http://127.0.0.1:$port", vertx), memory)
                server.stop()
            }
        }

        test("a service that can't be reached is unavailable") {
            val unreachable = HttpObjectStore("http://127.0.0.1:1", vertx)
            unreachable.put(key, first, null).getError().shouldBeInstanceOf<StoreFailure.Unavailable>()
        }
    })

private class ContractCase(
    val name: String,
    val check: suspend (ObjectStore, MemoryObjectStore) -> Unit,
)
