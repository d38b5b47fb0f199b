package tanagerlane.serving

import tanagerlane.model.ServiceName

/** A service that receives a share of the requests of a route in proportion to [weight]. */
public data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)
