package tanagerlane.limits

import tanagerlane.message.LimitKey

/** The rate that is configured for a key. */
public data class Limit(
    val key: LimitKey,
    val rate: Rate,
)
