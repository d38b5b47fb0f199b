package tanagerlane.store

import com.github.michaelbull.result.Result
import tanagerlane.model.Payload
import kotlin.time.Duration

/**
 * Client of the platform's object API, which offers versioned values, conditional updates and watches.
 *
 * Each call counts against the platform's call budget; a watch counts as one call, however long it waits.
 */
public interface ObjectStore {
    /** Reads the object at [key]; fails with [StoreFailure.NotFound] if there is none. */
    public suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure>

    /** Lists the objects whose keys start with [prefix], ordered by key. */
    public suspend fun list(prefix: String): Result<Listing, StoreFailure>

    /**
     * Writes [value] if the version of the object is still [expected], or if [expected] is null and it does not exist.
     *
     * Fails with [StoreFailure.Conflict] if the condition does not hold and with [StoreFailure.OutcomeUnknown]
     * if the response was lost; the caller then has to read the object to learn the outcome.
     */
    public suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure>

    /** Deletes the object at [key] if its version is still [expected]. */
    public suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure>

    /**
     * Waits up to [wait] for changes below [prefix] that are newer than [after].
     *
     * Returns immediately if there are any; an empty list means that there were none within [wait].
     */
    public suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure>
}
