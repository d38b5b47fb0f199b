package tanagerlane.limits

import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import kotlin.time.Instant

/** State that the pool's host keeps while the pool is open: queued tokens and the answers to loan calls. */
internal class PoolState(
    val openedAt: Instant,
    private val times: LimitTimes,
) {
    private val waiting = ArrayDeque<WaitingToken>()
    val answeredHolders: MutableSet<HostName> = mutableSetOf()
    var lastUsedAt: Instant = openedAt
    var lastCalledAt: Instant? = null

    fun isAwaitingLenders(
        holders: Set<HostName>,
        now: Instant,
    ): Boolean = now - openedAt < times.loanCallTimeout && !answeredHolders.containsAll(holders)

    fun isIdle(now: Instant): Boolean = now - lastUsedAt >= times.idleTimeout && waiting.isEmpty()

    fun isCallDue(now: Instant): Boolean = lastCalledAt?.let { now - it >= times.renewalInterval } ?: true

    fun enqueue(
        token: TokenId,
        requestedAt: Instant,
    ) {
        waiting += WaitingToken(token, requestedAt)
    }

    fun drain(): List<WaitingToken> = waiting.toList().also { waiting.clear() }

    internal data class WaitingToken(
        val token: TokenId,
        val requestedAt: Instant,
    )
}
