package tanagerlane.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError

/** Call to the object API that may be attempted on two paths at once, because a second attempt has no further effect. */
public enum class RepeatableCall {
    READ,

    /** Creates an object that must not exist before; at most one attempt takes effect. */
    CREATE,
    ;

    /**
     * Whether [result] of one attempt is the result of the call, whatever becomes of the other attempt.
     *
     * A failed create proves nothing about the other attempt: a conflict may be with the object that the other one made.
     */
    public fun isDecidedBy(result: Result<*, StoreFailure>): Boolean =
        when (this) {
            READ -> result.getError() !is StoreFailure.Unavailable
            CREATE -> result.isOk
        }

    public companion object {
        /** Returns the result of a call whose two attempts have ended with [first] and [second], in any order. */
        public fun <T> combined(
            first: Result<T, StoreFailure>,
            second: Result<T, StoreFailure>,
        ): Result<T, StoreFailure> = listOf(first, second).minBy { result -> result.fold({ 0 }, ::rankOf) }

        /** Returns the rank of a failure; the lower one tells more about what the call may have changed. */
        private fun rankOf(failure: StoreFailure): Int =
            when (failure) {
                is StoreFailure.OutcomeUnknown -> 1
                is StoreFailure.Conflict -> 2
                is StoreFailure.Unavailable -> 4
                else -> 3
            }
    }
}
