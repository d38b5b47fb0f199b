package tanagerlane.limits

import tanagerlane.message.TokenId
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * A token bucket in which tokens that were taken go on filling their room while they are outstanding.
 *
 * So level and outstanding tokens together never exceed the capacity, however late a request makes use of its token.
 */
internal class TokenBucket(
    private var refilledAt: Instant,
) {
    private val voidTimes = LinkedHashMap<TokenId, Instant>()

    var level: Double = 0.0
        private set

    /** Tokens that were taken and are neither settled nor void. */
    val outstanding: Collection<TokenId>
        get() = voidTimes.keys

    /** Adds the tokens of the time until [now], in steps at which outstanding tokens became void. */
    fun refill(
        share: Share,
        now: Instant,
    ) {
        while (true) {
            val (token, voidAt) = voidTimes.entries.firstOrNull() ?: break
            if (voidAt > now) {
                break
            }
            advance(share, voidAt)
            voidTimes.remove(token)
        }
        advance(share, now)
    }

    /** Drops tokens that [share] has no room for. */
    fun clamp(share: Share) {
        val room = (share.capacity - voidTimes.size).coerceAtLeast(0)
        level = level.coerceAtMost(room.toDouble())
    }

    /** Takes a token that counts as outstanding until [voidAt]; repeating it for the same [token] takes nothing more. */
    fun take(
        token: TokenId,
        voidAt: Instant,
    ): Boolean {
        if (token in voidTimes) {
            return true
        }
        if (level < 1.0) {
            return false
        }
        level -= 1.0
        voidTimes[token] = voidAt
        return true
    }

    /** Counts tokens as outstanding that were taken elsewhere. */
    fun adopt(
        tokens: List<TokenId>,
        voidAt: Instant,
    ) {
        tokens.forEach { voidTimes.putIfAbsent(it, voidAt) }
    }

    /** Ends the time for which [token] is outstanding; call [refill] first. */
    fun settle(token: TokenId) {
        voidTimes.remove(token)
    }

    /** Removes up to [most] tokens and returns how many there were. */
    fun withdraw(most: Double): Double {
        val tokens = most.coerceIn(0.0, level)
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
