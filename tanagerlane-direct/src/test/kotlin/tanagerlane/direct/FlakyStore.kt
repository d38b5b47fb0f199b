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

/**
 * An object API that fails all calls while [isUnavailable].
 *
 * @param failureDelay time after which such a call fails
 */
internal class FlakyStore(
    private val store: ObjectStore,
    private val failureDelay: Duration = 5.milliseconds,
) : ObjectStore {
    @Volatile
    var isUnavailable = false

    /** Kind whose list calls fail, or null. */
    @Volatile
    var failingKind: String? = null

    /** Number of calls that are answered before all further ones fail. */
    var callsLeft = Int.MAX_VALUE

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> = served { store.get(key) }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> =
        if (prefix == "$failingKind/") Err(StoreFailure.Unavailable("not listed")) else served { store.list(prefix) }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> = served { store.put(key, value, expected) }

    override suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure> = served { store.delete(key, expected) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure> = served { store.watch(prefix, after, wait) }

    private suspend fun <T> served(call: suspend () -> Result<T, StoreFailure>): Result<T, StoreFailure> {
        if (isUnavailable || callsLeft <= 0) {
            delay(failureDelay)
            return Err(StoreFailure.Unavailable("away"))
        }
        callsLeft--
        return call()
    }
}
