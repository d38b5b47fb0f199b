package tanagerlane.limits

import tanagerlane.message.TokenId
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * A token bucket in which tokens that were taken still occupy capacity while they are outstanding.
 *
 * Level and outstanding tokens together thus never exceed the capacity, however late a request uses its token.
 */
internal class TokenBucket(
    private var refilledAt: Instant,
) {
    private val expiryTimes = LinkedHashMap<TokenId, Instant>()

    var level: Double = 0.0
        private set

    /** Tokens that were taken and are neither settled nor expired. */
    val outstanding: Collection<TokenId>
        get() = expiryTimes.keys

    /** Adds the tokens that accrued up to [now], stepwise at each expiry of an outstanding token. */
    fun refill(
        share: Share,
        now: Instant,
    ) {
        while (true) {
            val (token, expiresAt) = expiryTimes.entries.firstOrNull() ?: break
            if (expiresAt > now) {
                break
            }
            advance(share, expiresAt)
            expiryTimes.remove(token)
        }
        advance(share, now)
    }

    /** Drops tokens that exceed the capacity of [share]. */
    fun clamp(share: Share) {
        val room = (share.capacity - expiryTimes.size).coerceAtLeast(0)
        level = level.coerceAtMost(room.toDouble())
    }

    /**
     * Takes a token that counts as outstanding until [expiresAt]; idempotent for the same [token].
     *
     * @return false if no token is available
     */
    fun take(
        token: TokenId,
        expiresAt: Instant,
    ): Boolean {
        if (token in expiryTimes) {
            return true
        }
        if (level < 1.0) {
            return false
        }
        level -= 1.0
        expiryTimes[token] = expiresAt
        return true
    }

    /** Counts [tokens] that were taken from the bucket of another entry as outstanding. */
    fun adopt(
        tokens: List<TokenId>,
        expiresAt: Instant,
    ) {
        tokens.forEach { expiryTimes.putIfAbsent(it, expiresAt) }
    }

    /** Stops counting [token] as outstanding; call [refill] first. */
    fun settle(token: TokenId) {
        expiryTimes.remove(token)
    }

    /** Removes up to [maximum] tokens and returns how many were removed. */
    fun withdraw(maximum: Double): Double {
        val tokens = maximum.coerceIn(0.0, level)
        level -= tokens
        return tokens
    }

    /** Adds [tokens]; call [clamp] afterwards. */
    fun deposit(tokens: Double) {
        level += tokens
    }

    private fun advance(
        share: Share,
        now: Instant,
    ) {
        if (now > refilledAt) {
            level += (now - refilledAt).toDouble(DurationUnit.SECONDS) * share.perSecond
            refilledAt = now
        }
        clamp(share)
    }
}
