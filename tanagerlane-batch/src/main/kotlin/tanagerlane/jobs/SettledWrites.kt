package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration

/**
 * Writes [value] and reads back whatever is in doubt, up to [tries] times with [pause] between them.
 *
 * Only for values that no other process writes, since a value found in place counts as written by this call. Fails
 * with [StoreFailure.Conflict] when another value is in place, with [StoreFailure.OutcomeUnknown] when the doubt
 * remains, and with [StoreFailure.Unavailable] when the write certainly took no effect.
 */
public suspend fun ObjectStore.putSettled(
    key: ObjectKey,
    value: Payload,
    expected: ObjectVersion?,
    pause: Duration,
    tries: Int = Int.MAX_VALUE,
): Result<ObjectVersion, StoreFailure> {
    var inDoubt: StoreFailure? = null
    var last: StoreFailure = StoreFailure.Unavailable("no try was made")
    repeat(tries) { number ->
        if (number > 0) {
            delay(pause)
        }
        val failure = put(key, value, expected).fold({ return Ok(it) }, { it })
        last = failure
        when (failure) {
            is StoreFailure.OutcomeUnknown -> inDoubt = failure
            is StoreFailure.Conflict -> Unit
            is StoreFailure.Unavailable -> return@repeat
            else -> return Err(failure)
        }
        val found = found(key, expected).fold({ it }, { return@repeat })
        when {
            found.isUnchanged -> Unit
            found.value == value && found.version != null -> return Ok(found.version)
            else -> return Err(StoreFailure.Conflict(key, found.version))
        }
    }
    return Err(inDoubt ?: last)
}

/** What was read back after a write in doubt. */
private data class Found(
    val version: ObjectVersion?,
    val value: Payload?,
    val isUnchanged: Boolean,
)

private suspend fun ObjectStore.found(
    key: ObjectKey,
    expected: ObjectVersion?,
): Result<Found, StoreFailure> =
    get(key).fold(
        { Ok(Found(it.version, it.value, it.version == expected)) },
        { failure ->
            if (failure is StoreFailure.NotFound) Ok(Found(null, null, expected == null)) else Err(failure)
        },
    )
