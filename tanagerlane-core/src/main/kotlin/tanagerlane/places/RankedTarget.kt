package tanagerlane.places

/**
 * A target with what decides whether it is selected for an online request.
 *
 * @property online online requests in flight
 * @property queueLengthWithNext online requests that would wait for a place if one more was sent
 * @property freePlaces free places, capped at the number from which targets rank equal
 * @property onlineIfFull online requests in flight if there is no free place, otherwise 0
 * @property isRemote whether the target is in another failure domain
 * @property tieBreaker pseudo-random number that differs from selection to selection
 */
internal data class RankedTarget(
    val target: DirectTarget,
    val online: Int,
    val queueLengthWithNext: Int,
    val freePlaces: Int,
    val onlineIfFull: Int,
    val isRemote: Boolean,
    val tieBreaker: Int,
) {
    companion object {
        val BEST_FIRST: Comparator<RankedTarget> =
            compareBy<RankedTarget> { it.queueLengthWithNext }
                .thenByDescending { it.freePlaces }
                .thenBy { it.onlineIfFull }
                .thenBy { it.isRemote }
                .thenBy { it.tieBreaker }
    }
}
