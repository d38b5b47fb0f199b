package tanagerlane.idempotency

import tanagerlane.store.ObjectVersion

/** A call of the object API required by a [ClaimShard], which has at most one call in flight. */
public sealed interface ClaimCall {
    /** Read the shard's object. */
    public data object Read : ClaimCall

    /** Write [claims] if the version of the object is still [expected]; null means that the object must not exist. */
    public data class Write(
        val claims: ClaimSet,
        val expected: ObjectVersion?,
    ) : ClaimCall
}
