package tanagerlane.standin.store

/** Calls that the object API has received. */
public data class StoreCalls(
    val reads: Long,
    val writes: Long,
    val watches: Long,
)
