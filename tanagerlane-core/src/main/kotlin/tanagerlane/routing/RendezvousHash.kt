package tanagerlane.routing

/** Ranks candidates for a key so that each key has its own order and a candidate that goes moves only its own keys. */
public object RendezvousHash {
    /** Returns [candidates] in the order of [key], the best first; [nameOf] must tell them apart. */
    public fun <T> ranked(
        key: String,
        candidates: Collection<T>,
        nameOf: (T) -> String,
    ): List<T> {
        val seed = StableHash.of(key)
        return candidates.sortedWith(
            compareByDescending<T> { StableHash.of(nameOf(it), seed) }.thenBy { nameOf(it) },
        )
    }

    /** Returns the best of [candidates] for [key], or null when there is none. */
    public fun <T> best(
        key: String,
        candidates: Collection<T>,
        nameOf: (T) -> String,
    ): T? = ranked(key, candidates, nameOf).firstOrNull()
}
