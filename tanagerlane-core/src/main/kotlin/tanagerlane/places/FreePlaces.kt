package tanagerlane.places

/** A target with the number of its places that no request occupies; below 0 if requests queue there. */
internal data class FreePlaces(
    val target: DirectTarget,
    val free: Int,
)
