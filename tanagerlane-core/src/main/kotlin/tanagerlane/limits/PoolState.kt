package tanagerlane.limits

import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import kotlin.time.Instant

/** What the host of a pool remembers while the pool is open. */
internal class PoolState(
    val openedAt: Instant,
    private val times: LimitTimes,
) {
    private val waiting = ArrayDeque<WaitingToken>()
    val answered: MutableSet<HostName> = mutableSetOf()
    var usedAt: Instant = openedAt
    var calledAt: Instant? = null

    fun isFilling(
        holders: Set<HostName>,
        now: Instant,
    ): Boolean = now - openedAt < times.callPatience && !answered.containsAll(holders)

    fun isIdle(now: Instant): Boolean = now - usedAt >= times.idleAfter && waiting.isEmpty()

    fun isCallDue(now: Instant): Boolean = calledAt?.let { now - it >= times.renewEvery } ?: true

    fun enqueue(
        token: TokenId,
        since: Instant,
    ) {
        waiting += WaitingToken(token, since)
    }

    fun drain(): List<WaitingToken> = waiting.toList().also { waiting.clear() }

    internal data class WaitingToken(
        val token: TokenId,
        val since: Instant,
    )
}
