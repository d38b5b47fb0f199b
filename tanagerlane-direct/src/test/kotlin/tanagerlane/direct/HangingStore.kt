package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import tanagerlane.model.Payload
import tanagerlane.store.Changes
import tanagerlane.store.Listing
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An object API whose calls about [hangingPrefix] wait until that changes, and fail after that while [isDown]. */
internal class HangingStore(
    private val store: ObjectStore,
) : ObjectStore {
    /** Prefix of the keys of calls that wait, or null. */
    @Volatile
    var hangingPrefix: String? = null

    /** Whether calls fail. */
    @Volatile
    var isDown = false

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> = served(key.path) { store.get(key) }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> = served(prefix) { store.list(prefix) }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> = served(key.path) { store.put(key, value, expected) }

    override suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure> = served(key.path) { store.delete(key, expected) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure> = served(prefix) { store.watch(prefix, after, wait) }

    private suspend fun <T> served(
        path: String,
        call: suspend () -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> {
        while (hangingPrefix?.let(path::startsWith) == true) {
            delay(CHECK_INTERVAL)
        }
        return if (isDown) Err(StoreFailure.Unavailable("away")) else call()
    }

    private companion object {
        val CHECK_INTERVAL = 10.milliseconds
    }
}
