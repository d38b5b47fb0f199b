package tanagerlane.store

import com.github.michaelbull.result.Result
import tanagerlane.model.Payload
import kotlin.time.Duration

/**
 * The platform's object API: versioned values, conditional updates and watches.
 *
 * Each call counts against the platform's budget, a waiting watch as one call.
 */
public interface ObjectStore {
    /** Reads the object at [key]; fails with [StoreFailure.NotFound] when there is none. */
    public suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure>

    /** Lists the objects whose keys begin with [prefix], in order of their keys. */
    public suspend fun list(prefix: String): Result<Listing, StoreFailure>

    /**
     * Writes [value] if the object still has [expected] as its version, or does not exist where it is null.
     *
     * Fails with [StoreFailure.Conflict] when the condition does not hold and with [StoreFailure.OutcomeUnknown]
     * when the answer was lost; the caller then has to read the object back.
     */
    public suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure>

    /** Deletes the object at [key] if it still has [expected] as its version. */
    public suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure>

    /**
     * Waits up to [wait] for changes below [prefix] that are newer than [after].
     *
     * Returns at once when there are any; an empty list of changes means that the wait ended.
     */
    public suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure>
}
