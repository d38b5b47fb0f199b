package tanagerlane.direct

import tanagerlane.admission.WaitingRequest
import tanagerlane.places.DirectTarget

/**
 * A place at [target] that a request has.
 *
 * @property admitted the request as the queue of waiting requests knows it, or null if requests do not wait
 */
internal class HeldPlace(
    val target: DirectTarget,
    val admitted: WaitingRequest? = null,
)
