package tanagerlane.routing

/** Ranks candidates in a separate order for each key, so that removing a candidate reassigns only its own keys. */
public object RendezvousHash {
    /** Returns [candidates] in their order for [key], best first; [nameOf] must return a unique name for each. */
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

    /** Returns the best of [candidates] for [key], or null if there are none. */
    public fun <T> best(
        key: String,
        candidates: Collection<T>,
        nameOf: (T) -> String,
    ): T? = ranked(key, candidates, nameOf).firstOrNull()
}
