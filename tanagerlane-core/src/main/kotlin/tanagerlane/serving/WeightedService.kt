package tanagerlane.serving

import tanagerlane.model.ServiceName

/** A service that takes a share of a route's requests, in proportion to [weight]. */
public data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)
