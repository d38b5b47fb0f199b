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
 * with [StoreFailure.Conflict] when another value is in place and with [StoreFailure.OutcomeUnknown] when the doubt
 * remains. With any other failure, such as [StoreFailure.Unavailable], no try has taken effect and none will.
 *
 * A lost answer stays in doubt even if the object is then found unchanged, because the call may still be carried out. A
 * conflict is in doubt until the object is read, because the value in place may be this one.
 */
public suspend fun ObjectStore.putSettled(
    key: ObjectKey,
    value: Payload,
    expected: ObjectVersion?,
    pause: Duration,
    tries: Int = Int.MAX_VALUE,
): Result<ObjectVersion, StoreFailure> {
    var lostAnswer: StoreFailure.OutcomeUnknown? = null
    var unreadConflict: StoreFailure.OutcomeUnknown? = null
    var last: StoreFailure = StoreFailure.Unavailable("no try was made")
    repeat(tries) { number ->
        if (number > 0) {
            delay(pause)
        }
        val failure = put(key, value, expected).fold({ return Ok(it) }, { it })
        last = failure
        when (failure) {
            is StoreFailure.OutcomeUnknown -> lostAnswer = failure
            is StoreFailure.Conflict -> unreadConflict = StoreFailure.OutcomeUnknown("conflict not read back: $failure")
            is StoreFailure.Unavailable -> return@repeat
            else -> return Err(lostAnswer ?: unreadConflict ?: failure)
        }
        val found = found(key, expected).fold({ it }, { return@repeat })
        unreadConflict = null
        when {
            found.isUnchanged -> Unit
            found.value == value && found.version != null -> return Ok(found.version)
            else -> return Err(StoreFailure.Conflict(key, found.version))
        }
    }
    return Err(lostAnswer ?: unreadConflict ?: last)
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
