package tanagerlane.idempotency

import tanagerlane.store.ObjectVersion

/** A call of the object API that a [ClaimShard] needs; it has one at a time. */
public sealed interface ClaimCall {
    /** Read the shard's object. */
    public data object Read : ClaimCall

    /** Write [claims] if the object still has [expected] as its version, or does not exist where it is null. */
    public data class Write(
        val claims: ClaimSet,
        val expected: ObjectVersion?,
    ) : ClaimCall
}
