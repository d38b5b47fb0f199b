package tanagerlane.limits

import tanagerlane.message.LimitKey

/** Rate that is configured for a key. */
public data class Limit(
    val key: LimitKey,
    val rate: Rate,
)
