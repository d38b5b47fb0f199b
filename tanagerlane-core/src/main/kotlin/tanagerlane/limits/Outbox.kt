package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.LoanCall
import tanagerlane.message.LoanRecall
import tanagerlane.message.Nonce
import tanagerlane.message.SettledToken
import tanagerlane.message.TokenGrant
import tanagerlane.message.TokenId
import tanagerlane.message.TokenRefusal
import tanagerlane.message.TokensSettled
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Instant

/** Collects the messages and decisions of one step; messages of one kind to the same peer are combined. */
internal class Outbox(
    private val settings: LimiterSettings,
    private val nonce: Nonce,
) {
    private val calls = LinkedHashMap<HostName, MutableList<LimitKey>>()
    private val recalls = LinkedHashMap<HostName, MutableList<LimitKey>>()
    private val settled = LinkedHashMap<HostName, MutableList<SettledToken>>()
    private val others = mutableListOf<OutgoingMessage>()
    private val decisions = mutableListOf<Decision>()

    fun call(
        key: LimitKey,
        holders: Set<HostName>,
    ) {
        holders.forEach { calls.getOrPut(it) { mutableListOf() } += key }
    }

    fun recall(
        key: LimitKey,
        from: HostName,
    ) {
        recalls.getOrPut(from) { mutableListOf() } += key
    }

    fun settle(
        at: HostName,
        token: SettledToken,
    ) {
        settled.getOrPut(at) { mutableListOf() } += token
    }

    fun send(
        to: HostName,
        message: WireMessage,
    ) {
        others += OutgoingMessage(to, message)
    }

    fun decide(decision: Decision) {
        decisions += decision
    }

    /** Reports to the entry that requested [token] that this host debited it. */
    fun grant(
        key: LimitKey,
        token: TokenId,
        requestedAt: Instant,
    ) {
        if (token.host != settings.host) {
            send(token.host, TokenGrant(key, token))
            return
        }
        val permit = Permit(key, token, settings.host, requestedAt + settings.times.permitValidity)
        decide(Decision(token.number, Admission.Admitted(permit)))
    }

    /** Reports to the entry that requested [token] that no token is available. */
    fun refuse(
        key: LimitKey,
        token: TokenId,
        retryAfter: Duration,
    ) {
        if (token.host != settings.host) {
            send(token.host, TokenRefusal(key, token, retryAfter))
        } else {
            decide(Decision(token.number, Admission.Refused(retryAfter)))
        }
    }

    fun reaction(): LimiterOutput = LimiterOutput(outgoing(), decisions)

    fun outgoing(): List<OutgoingMessage> =
        calls.map { (host, keys) -> OutgoingMessage(host, LoanCall(nonce, keys)) } +
            recalls.map { (host, keys) -> OutgoingMessage(host, LoanRecall(keys)) } +
            settled.map { (host, tokens) -> OutgoingMessage(host, TokensSettled(tokens)) } +
            others
}
