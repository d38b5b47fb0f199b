package tanagerlane.quarantine

/**
 * What the evidence tells about one request.
 *
 * @property crashes number of crashes at which it was lost
 * @property chainedCrashes number of those that followed one another, each after the request had been sent again
 * @property verdict set if that suffices, also once the term is over
 */
internal data class SuspectedRequest(
    val crashes: Int,
    val chainedCrashes: Int,
    val verdict: QuarantinedRequest?,
)
