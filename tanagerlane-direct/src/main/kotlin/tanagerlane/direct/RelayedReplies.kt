package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedOutcome
import tanagerlane.message.RelayedReply
import tanagerlane.message.ViewObject
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject

/** Converts the results of calls that are made for other processes to replies, and replies to results. */
internal object RelayedReplies {
    /** Converts an object of a reply to the one that was read. */
    fun storedOf(read: ViewObject): StoredObject =
        StoredObject(ObjectKey(read.name), ObjectVersion(read.version), read.value ?: Payload.EMPTY)

    /** Converts an object that was read to one for a reply. */
    fun objectOf(stored: StoredObject): ViewObject = ViewObject(stored.key.path, stored.version.number, stored.value)

    /** Returns the reply to a call that succeeded. */
    fun done(
        call: RelayedCall,
        version: ObjectVersion = ObjectVersion.NONE,
        objects: List<ViewObject> = emptyList(),
    ) = RelayedReply(call.call, RelayedOutcome.DONE, version.number, objects)

    /** Returns the reply to a call that failed with [failure]. */
    fun failed(
        call: RelayedCall,
        failure: StoreFailure,
    ): RelayedReply {
        val outcome =
            when (failure) {
                is StoreFailure.NotFound -> RelayedOutcome.NOT_FOUND
                is StoreFailure.Conflict -> RelayedOutcome.CONFLICT
                is StoreFailure.OutcomeUnknown -> RelayedOutcome.UNKNOWN
                is StoreFailure.TooLarge -> RelayedOutcome.TOO_LARGE
                else -> RelayedOutcome.NOT_DONE
            }
        return RelayedReply(call.call, outcome, (failure as? StoreFailure.Conflict)?.current?.number ?: 0, emptyList())
    }

    /** Returns the result of a call about [path] that [relay] has answered. */
    fun <T> resultOf(
        reply: RelayedReply,
        relay: HostName,
        path: String,
        convert: (RelayedReply) -> Result<T, StoreFailure>,
    ): Result<T, StoreFailure> =
        when (reply.outcome) {
            RelayedOutcome.DONE -> convert(reply)
            RelayedOutcome.NOT_FOUND -> Err(StoreFailure.NotFound(ObjectKey(path.removeSuffix("/"))))
            RelayedOutcome.CONFLICT -> Err(StoreFailure.Conflict(ObjectKey(path), ObjectVersion(reply.version)))
            RelayedOutcome.NOT_DONE -> Err(StoreFailure.Unavailable("call not made by relay $relay"))
            RelayedOutcome.TOO_LARGE -> Err(StoreFailure.TooLarge(ObjectKey(path)))
            RelayedOutcome.UNKNOWN -> Err(StoreFailure.OutcomeUnknown("outcome unknown to relay $relay"))
        }
}
